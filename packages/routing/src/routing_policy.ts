import type {BackendView} from './backend_view.js';
import type {RoutingDecision} from './routing_decision.js';
import type {RoutingRequest} from './routing_request.js';

/** Chooses the backend server for a request. */
export abstract class RoutingPolicy {
  /** Name in settings, records and reports. */
  abstract readonly name: string;

  /** Chooses among at least one candidate that can hold the request. */
  abstract choose(
    request: RoutingRequest,
    candidates: readonly BackendView[],
  ): RoutingDecision;
}
