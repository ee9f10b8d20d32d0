import type {Backend} from '../fleet/backend.js';
import {PlacementPolicy} from './placement_policy.js';
import {singleBackendDecision} from './single_backend_decision.js';
import type {PlacementDecision} from './placement_decision.js';
import type {PlacementRequest} from './placement_request.js';

/**
 * Requests by which a backend server of another failure domain must be less
 * loaded. Bytes between failure domains are priced.
 */
const CROSS_DOMAIN_PENALTY = 0.75;
/** Requests that a backend server which fails every request counts for. */
const FAILURE_PENALTY = 12;
/** Keeps hosts with the same view from choosing alike. */
const MAX_JITTER = 0.3;

/** Takes the backend server with the fewest requests for its size. */
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
