import type {CandidatePool} from './candidate_pool.js';
import type {RoutingDecision} from './routing_decision.js';
import type {RoutingRequest} from './routing_request.js';

/** Chooses the backend server for a request. */
export abstract class RoutingPolicy {
  /** Name in settings, records and reports. */
  abstract readonly name: string;

  /** Chooses from a pool with at least one preferred candidate. */
  abstract choose(
    request: RoutingRequest,
    pool: CandidatePool,
  ): RoutingDecision;
}
