import type {PlacementPrediction} from '../placement/placement_prediction.js';

/**
 * Share of a goal that the predicted first event may take. The rest is for what
 * the prediction doesn't know: what other hosts place at the same moment, and
 * pauses of the streams that run.
 */
const GOAL_SHARE = 0.65;
/**
 * Multiple of the time on an idle engine below which a first event is due to the
 * size of its prompt, not to a backlog.
 */
const IDLE_FACTOR = 1.5;

/** Whether a backlog would keep the first event past its goal. */
export function isKeptPastGoal(
  {firstEventMs, idleFirstEventMs}: PlacementPrediction,
  latencyGoalMs: number,
): boolean {
  return (
    firstEventMs > GOAL_SHARE * latencyGoalMs &&
    firstEventMs > IDLE_FACTOR * idleFirstEventMs
  );
}
