import type {ServiceSpec} from '../config/service_spec.js';
import type {RequestMetadata} from '../dialect/request_metadata.js';
import type {Backend} from '../fleet/backend.js';
import type {PlacementPrediction} from '../placement/placement_prediction.js';
import type {Urgency} from './urgency.js';

/** A request that has been placed but not sent. */
export interface AdmissionRequest {
  readonly service: ServiceSpec;
  readonly metadata: RequestMetadata;
  readonly route: string;
  readonly urgency: Urgency;
  /** Absent where the route needs no key. */
  readonly workspace?: string;
  /** Goal for the time to the first event, in milliseconds. */
  readonly latencyGoalMs: number;
  /** Absent where the placement predicts nothing. */
  readonly prediction?: PlacementPrediction;
  /** Backend servers of the service that take requests. */
  readonly backends: readonly Backend[];
  /**
   * Whether the policy was asked for this request before, as beside a silent
   * attempt. What a policy learns from requests, it learns once of each.
   */
  readonly isRepeated?: boolean;
  readonly nowMs: number;
}
