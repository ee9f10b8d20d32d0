/** What an engine was given to do for one request. */
export interface WorkItem {
  /** Time that the engine needs for the prompt tokens, undisturbed. */
  readonly prefillMs: number;
  /** Context that the engine holds in memory until the request has ended. */
  readonly contextTokens: number;
  /** Expected time of decoding; 0 for a part of another engine's prompt. */
  readonly decodeMs: number;
  /** Longest pause between events that is aimed at; 0 for a part. */
  readonly pauseGoalMs: number;
  /** Time to the first event that is aimed at; 0 for a part. */
  readonly firstEventGoalMs: number;
  /** Credit that is lost when the answer comes late. */
  readonly lossIfLate: number;
}
