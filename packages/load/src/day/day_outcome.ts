import type {DayArrival} from './day_arrival.js';

/** The outcome of one request of a simulated day. */
export interface DayOutcome {
  readonly arrival: DayArrival;
  /** Time to the first event at the client; absent if none arrived. */
  firstEventMs?: number;
  /** Time to the latest event at the client. */
  lastEventMs?: number;
  /** Longest pause between events. */
  longestPauseMs: number;
  /** Whether the last event arrived before the deadline. */
  isCompleted: boolean;
  /** Number of engines that processed the prompt. */
  prefillEngineCount: number;
  /** Times that entry hosts refused the request. */
  refusals: number;
  /** Time to the first event that the placement policy predicted. */
  predictedFirstEventMs?: number;
}
