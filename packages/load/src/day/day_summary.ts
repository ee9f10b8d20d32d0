/** Figures of one kind of request over a virtual day. */
export interface ClassSummary {
  readonly name: string;
  readonly asked: number;
  readonly inGoal: number;
  readonly late: number;
  readonly failed: number;
  /** Late by their first event, and late by a pause alone. */
  readonly lateFirst: number;
  readonly latePause: number;
  /** Credit earned over credit of all in time. */
  readonly share: number;
  readonly firstP50Ms: number;
  readonly firstP99Ms: number;
  readonly pauseP50Ms: number;
  readonly pauseP99Ms: number;
  readonly meanEngines: number;
}

/** Figures of a virtual day. */
export interface DaySummary {
  /** Credit earned over credit of all answers in time. */
  readonly share: number;
  readonly classes: readonly ClassSummary[];
}
