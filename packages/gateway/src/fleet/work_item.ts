/** Work of one engine for one request. */
export interface WorkItem {
  /** Time that the prefill takes on the engine without other work. */
  readonly prefillMs: number;
  /** Context tokens in the engine's KV memory until the request has ended. */
  readonly contextTokens: number;
  /** Expected decoding time; 0 for a prefill share of a helper. */
  readonly decodeMs: number;
  /** Goal for the longest pause between events; 0 for a helper. */
  readonly pauseGoalMs: number;
  /** Goal for the time to the first event; 0 for a helper. */
  readonly firstEventGoalMs: number;
  /** Credit that is lost when the response is late; 0 for a helper. */
  readonly lossIfLate: number;
}
