/** Limits on the retries of one service within a sliding window. */
export interface RetryLimits {
  /** Retries for each request. */
  readonly ratio: number;
  readonly windowMs: number;
  /** Retries of all entry hosts together beyond the ratio. */
  readonly allowance: number;
}
