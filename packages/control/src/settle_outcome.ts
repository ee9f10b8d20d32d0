/** Outcome of an at-most-once request. */
export enum SettleOutcome {
  Done = 'done',
  /** No byte was sent; the key becomes free again. */
  NotRun = 'not_run',
  Unknown = 'unknown',
}
