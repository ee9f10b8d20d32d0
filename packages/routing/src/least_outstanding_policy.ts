import type {CandidatePool} from './candidate_pool.js';
import {createDecision} from './create_decision.js';
import {estimateFirstTokenMs} from './estimate_first_token_ms.js';
import type {RoutingDecision} from './routing_decision.js';
import {RoutingPolicy} from './routing_policy.js';
import type {RoutingRequest} from './routing_request.js';

/** Baseline: takes the candidate with the fewest requests of this host. */
export class LeastOutstandingPolicy extends RoutingPolicy {
  readonly name = 'least_outstanding';
  private nextStart = 0;

  choose(
    request: RoutingRequest,
    {preferred: candidates}: CandidatePool,
  ): RoutingDecision {
    const start = this.nextStart++;
    let backend = candidates[start % candidates.length]!;
    for (let offset = 1; offset < candidates.length; offset++) {
      const candidate = candidates[(start + offset) % candidates.length]!;
      if (candidate.ownRequests < backend.ownRequests) backend = candidate;
    }
    const estimateMs = estimateFirstTokenMs(request, backend);
    return createDecision(request, {backend, estimateMs}, []);
  }
}
