/** Share of a service's requests that may be repeated, and for how long. */
export interface RetryLimits {
  /** Repeats for each request. */
  readonly ratio: number;
  readonly windowMs: number;
  /** Repeats of all entry hosts together beyond the ratio. */
  readonly allowance: number;
}
