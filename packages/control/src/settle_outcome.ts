/** How an at-most-once request ended. */
export enum SettleOutcome {
  Done = 'done',
  /** No byte left; the key is free again. */
  NotRun = 'not_run',
  Unknown = 'unknown',
}
