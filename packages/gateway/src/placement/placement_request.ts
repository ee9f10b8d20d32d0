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
  readonly nowMs: number;
  /** Time since the request arrived. */
  readonly waitedMs: number;
}
