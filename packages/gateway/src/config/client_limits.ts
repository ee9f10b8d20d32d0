/** Limits on the sizes and durations of a client's requests. */
export interface ClientLimits {
  readonly maxHeaderBytes: number;
  readonly maxBodyBytes: number;
  /** Time within which the headers of a request must be complete. */
  readonly headerTimeoutMs: number;
  /** Time after which a connection without a request may be closed. */
  readonly idleTimeoutMs: number;
}
