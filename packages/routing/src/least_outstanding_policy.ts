import type {CandidatePool} from './candidate_pool.js';
import {createDecision} from './create_decision.js';
import {estimateFirstTokenMs} from './estimate_first_token_ms.js';
import type {RoutingDecision} from './routing_decision.js';
import {RoutingPolicy} from './routing_policy.js';
import type {RoutingRequest} from './routing_request.js';

/** Baseline: takes the candidate with the fewest requests of this host. */
export class LeastOutstandingPolicy extends RoutingPolicy {
  readonly name = 'least_outstanding';
  private turn = 0;

  choose(
    request: RoutingRequest,
    {near: candidates}: CandidatePool,
  ): RoutingDecision {
    const start = this.turn++;
    let backend = candidates[start % candidates.length]!;
    for (let step = 1; step < candidates.length; step++) {
      const next = candidates[(start + step) % candidates.length]!;
      if (next.ownRequests < backend.ownRequests) backend = next;
    }
    const estimateMs = estimateFirstTokenMs(request, backend);
    return createDecision(request, {backend, estimateMs}, []);
  }
}
