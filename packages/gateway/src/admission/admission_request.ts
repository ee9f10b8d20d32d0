import type {PlacementPrediction} from '../placement/placement_prediction.js';

/** A request that has been placed but not sent. */
export interface AdmissionRequest {
  /** Goal for the time to the first event, in milliseconds. */
  readonly latencyGoalMs: number;
  /** Absent where the placement predicts nothing. */
  readonly prediction?: PlacementPrediction;
}
