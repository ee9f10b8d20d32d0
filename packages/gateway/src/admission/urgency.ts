/** How urgent a request is among the others of its service. */
export interface Urgency {
  /** Priorities of the service that are less urgent. */
  readonly levelsBelow: number;
  /** Priorities of the service that are more urgent. */
  readonly levelsAbove: number;
  /** Shortest goal of those that are more urgent; absent without any. */
  readonly urgentGoalMs?: number;
}
