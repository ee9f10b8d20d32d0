import type {RouteSpec} from '../config/route_spec.js';
import type {ServiceSpec} from '../config/service_spec.js';
import type {RequestMetadata} from '../dialect/request_metadata.js';
import type {Backend} from '../fleet/backend.js';

/** What a placement is decided on. */
export interface PlacementRequest {
  readonly service: ServiceSpec;
  readonly route: RouteSpec;
  readonly metadata: RequestMetadata;
  /** Backend servers that may take the request, none of them tried before. */
  readonly candidates: readonly Backend[];
  readonly nowMs: number;
  /** Time since the request arrived. */
  readonly waitedMs: number;
}
