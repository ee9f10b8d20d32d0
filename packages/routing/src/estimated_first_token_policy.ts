import type {BackendView} from './backend_view.js';
import {createDecision, type RankedBackend} from './create_decision.js';
import {estimateFirstTokenMs} from './estimate_first_token_ms.js';
import type {RoutingDecision} from './routing_decision.js';
import {RoutingPolicy} from './routing_policy.js';
import type {RoutingRequest} from './routing_request.js';

const TIE_FRACTION = 0.05;
const TIE_MS = 2;

/** Options of `EstimatedFirstTokenPolicy`. */
export interface EstimatedFirstTokenOptions {
  /** Returns a number from 0 inclusive to 1 exclusive. */
  readonly random?: () => number;
}

/**
 * Takes the candidate with the shortest estimated time to first token. Among
 * nearly equal ones it picks at random, so that hosts with the same lagging
 * reports do not all pick the same.
 */
export class EstimatedFirstTokenPolicy extends RoutingPolicy {
  readonly name = 'estimated_first_token';
  private readonly random: () => number;

  constructor(options: EstimatedFirstTokenOptions = {}) {
    super();
    this.random = options.random ?? Math.random;
  }

  choose(
    request: RoutingRequest,
    candidates: readonly BackendView[],
  ): RoutingDecision {
    const ranked: RankedBackend[] = candidates.map(backend => ({
      backend,
      estimateMs: estimateFirstTokenMs(request, backend),
    }));
    const bestMs = Math.min(...ranked.map(({estimateMs}) => estimateMs));
    const limitMs = bestMs * (1 + TIE_FRACTION) + TIE_MS;
    const ties = ranked.filter(({estimateMs}) => estimateMs <= limitMs);
    const chosen = ties[Math.floor(this.random() * ties.length)]!;
    return createDecision(request, chosen, ranked);
  }
}
