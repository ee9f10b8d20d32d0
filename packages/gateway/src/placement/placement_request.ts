import type {RouteSpec} from '../config/route_spec.js';
import type {ServiceSpec} from '../config/service_spec.js';
import type {RequestMetadata} from '../dialect/request_metadata.js';
import type {Backend} from '../fleet/backend.js';

/** Input of a placement policy. */
export interface PlacementRequest {
  readonly service: ServiceSpec;
  readonly route: RouteSpec;
  readonly metadata: RequestMetadata;
  /** Eligible backend servers, without those that earlier attempts excluded. */
  readonly candidates: readonly Backend[];
  /**
   * Candidates with a request limit. The end of a limit is learnt from a response
   * of the backend server itself, so one that helps should respond instead.
   */
  readonly limited?: ReadonlySet<Backend>;
  /**
   * Entries that the list of helpers of a request may have. An engine with
   * reserved memory is one of them, also the responding one.
   */
  readonly maxHelperEntries: number;
  readonly nowMs: number;
  /** Time since the request arrived. */
  readonly waitedMs: number;
}
