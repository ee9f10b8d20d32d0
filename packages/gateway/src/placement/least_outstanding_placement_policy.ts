import type {Backend} from '../fleet/backend.js';
import {PlacementPolicy} from './placement_policy.js';
import {singleBackendDecision} from './single_backend_decision.js';
import type {PlacementDecision} from './placement_decision.js';
import type {PlacementRequest} from './placement_request.js';

/**
 * Requests by which a backend server in another failure domain must be less
 * loaded, because traffic between failure domains is billed.
 */
const CROSS_DOMAIN_PENALTY = 0.75;
/** Requests added to the load of a backend server that fails every request. */
const FAILURE_PENALTY = 12;
/** Maximum random load; hosts with the same view then choose differently. */
const MAX_JITTER = 0.3;

/** Chooses the backend server with the fewest outstanding requests. */
export class LeastOutstandingPlacementPolicy extends PlacementPolicy {
  constructor(
    private readonly failureDomain: string,
    private readonly random: () => number = Math.random,
  ) {
    super();
  }

  place({candidates, nowMs}: PlacementRequest): PlacementDecision | undefined {
    let best: Backend | undefined;
    let bestCost = Infinity;
    for (const backend of candidates) {
      const cost = this.cost(backend, nowMs);
      if (cost >= bestCost) continue;
      best = backend;
      bestCost = cost;
    }
    return best && singleBackendDecision(best);
  }

  private cost(backend: Backend, nowMs: number): number {
    const isCrossDomain = backend.presence.failureDomain !== this.failureDomain;
    return (
      backend.estimateLoad(nowMs) +
      (isCrossDomain ? CROSS_DOMAIN_PENALTY : 0) +
      FAILURE_PENALTY * backend.failures.failureRate(nowMs) +
      MAX_JITTER * this.random()
    );
  }
}
