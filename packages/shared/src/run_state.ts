/** What is known about whether a request reached a backend server. */
export enum RunState {
  /** No backend server can have seen the request. */
  NotRun = 'not_run',
  /** Bytes may have left, and the outcome was not learnt. */
  Unknown = 'unknown',
  /** A backend server saw the request and it failed. */
  Failed = 'failed',
  Done = 'done',
}
