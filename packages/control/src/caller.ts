/** Who waits for the outcome of a call. */
export interface Caller {
  /** Aborts when the caller closes its connection. */
  readonly signal: AbortSignal;
  /**
   * Longest time in milliseconds for which the call may have waited to be read;
   * the caller may have given up meanwhile.
   */
  readonly unreadMs: number;
}
