/** What became of a relayed request that no backend server has answered. */
export enum RelayOutcome {
  /** No backend server has received it, and none will. */
  NotSent = 'not_sent',
  /** Backend servers refused it; it has not run and never will. */
  NotRun = 'not_run',
  /** It may have run. */
  Failed = 'failed',
  /** The request itself is not valid; the response is for the client. */
  Invalid = 'invalid',
}
