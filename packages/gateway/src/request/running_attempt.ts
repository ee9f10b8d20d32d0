import type {PlacementDecision} from '../placement/placement_decision.js';

/** An attempt of a request that has not ended. */
export interface RunningAttempt {
  /** 1 for the first attempt of the request. */
  readonly number: number;
  readonly decision: PlacementDecision;
  /** Ends the attempt; the reason is an `AbortReason`. */
  readonly controller: AbortController;
  /** Whether it drew on the retry budget. */
  readonly isBudgeted: boolean;
  /** Whether nothing has arrived for longer than the timeout. */
  isSilent: boolean;
  /** When bytes were first forwarded, on the monotonic clock. */
  firstProgressMs?: number;
  /** Whether the request may have reached the backend server. */
  wasSent: boolean;
}
