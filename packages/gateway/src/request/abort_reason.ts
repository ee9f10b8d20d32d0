/** Why a request is not followed any more. */
export enum AbortReason {
  ClientDisconnected = 'client_left',
  DeadlineExceeded = 'deadline_passed',
}
