import type {DayArrival} from './day_arrival.js';

/** What became of one request of a virtual day. */
export interface DayOutcome {
  readonly arrival: DayArrival;
  /** Time to the first event at the client; absent when none came. */
  firstEventMs?: number;
  /** Time to the latest event at the client. */
  lastEventMs?: number;
  /** Longest pause between events. */
  longestPauseMs: number;
  /** Whether the whole answer came before the deadline. */
  isCompleted: boolean;
  /** Engines that processed its prompt. */
  prefillEngineCount: number;
  /** First event that the placement expected. */
  predictedFirstEventMs?: number;
}
