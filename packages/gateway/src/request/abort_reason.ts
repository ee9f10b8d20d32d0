/** Why a request is not followed any more. */
export enum AbortReason {
  ClientLeft = 'client_left',
  DeadlinePassed = 'deadline_passed',
}
