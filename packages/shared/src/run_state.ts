/** What is known about whether a request reached a backend server. */
export enum RunState {
  /** No backend server can have received the request. */
  NotRun = 'not_run',
  /** The request may have been sent, and its outcome is unknown. */
  Unknown = 'unknown',
  /** A backend server received the request, and the request failed. */
  Failed = 'failed',
  Done = 'done',
}
