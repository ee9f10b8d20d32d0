import type {CandidatePool} from './candidate_pool.js';
import {createDecision} from './create_decision.js';
import {estimateFirstTokenMs} from './estimate_first_token_ms.js';
import type {RoutingDecision} from './routing_decision.js';
import {RoutingPolicy} from './routing_policy.js';
import type {RoutingRequest} from './routing_request.js';

/** Baseline: takes the candidates in turn. */
export class RoundRobinPolicy extends RoutingPolicy {
  readonly name = 'round_robin';
  private nextIndex = 0;

  choose(
    request: RoutingRequest,
    {preferred: candidates}: CandidatePool,
  ): RoutingDecision {
    const backend = candidates[this.nextIndex++ % candidates.length]!;
    const estimateMs = estimateFirstTokenMs(request, backend);
    return createDecision(request, {backend, estimateMs}, []);
  }
}
