/** Why a client's request, or one attempt of it, was aborted. */
export enum AbortReason {
  ClientDisconnected = 'client_left',
  DeadlineExceeded = 'deadline_passed',
  /** The request, or a part of its prompt, crashes backend servers. */
  Quarantined = 'quarantined',
  /** Another attempt made progress first; the request goes on. */
  Superseded = 'superseded',
}
