/** Figures of one kind of request over a virtual day. */
export interface ClassSummary {
  readonly name: string;
  readonly requestCount: number;
  readonly withinGoal: number;
  readonly late: number;
  readonly failed: number;
  /** Late by their first event, and late by a pause alone. */
  readonly lateByFirstEvent: number;
  readonly lateByPause: number;
  /** Credit earned over credit of all in time. */
  readonly creditShare: number;
  readonly firstEventP50Ms: number;
  readonly firstEventP99Ms: number;
  readonly pauseP50Ms: number;
  readonly pauseP99Ms: number;
  readonly meanPrefillEngines: number;
}

/** Figures of a virtual day. */
export interface DaySummary {
  /** Credit earned over credit of all answers in time. */
  readonly creditShare: number;
  readonly classes: readonly ClassSummary[];
}
