/** Results of one request class over the simulated days. */
export interface ClassSummary {
  readonly name: string;
  readonly requestCount: number;
  readonly withinGoal: number;
  readonly late: number;
  readonly failed: number;
  /** Requests whose first event missed its goal. */
  readonly lateByFirstEvent: number;
  /** Requests that missed the goal for pauses alone. */
  readonly lateByPause: number;
  /** Earned credit over the credit if all requests met their goals. */
  readonly creditShare: number;
  readonly firstEventP50Ms: number;
  readonly firstEventP99Ms: number;
  readonly pauseP50Ms: number;
  readonly pauseP99Ms: number;
  readonly meanPrefillEngines: number;
}

/** Results of the simulated days. */
export interface DaySummary {
  /** Earned credit over the credit if all requests met their goals. */
  readonly creditShare: number;
  readonly classes: readonly ClassSummary[];
}
