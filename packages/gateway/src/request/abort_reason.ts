/** Why a client's request was aborted. */
export enum AbortReason {
  ClientDisconnected = 'client_left',
  DeadlineExceeded = 'deadline_passed',
}
