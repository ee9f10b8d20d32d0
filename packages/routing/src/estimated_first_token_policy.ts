import type {BackendView} from './backend_view.js';
import type {CandidatePool} from './candidate_pool.js';
import {createDecision, type RankedBackend} from './create_decision.js';
import {estimateFirstTokenMs} from './estimate_first_token_ms.js';
import type {RoutingDecision} from './routing_decision.js';
import {RoutingPolicy} from './routing_policy.js';
import type {RoutingRequest} from './routing_request.js';

const TIE_FRACTION = 0.05;
const TIE_MS = 2;
/** A prompt that takes so many engine steps counts as long. */
const LONG_STEPS = 8;
/** What a long prompt may lose to share an engine with other long ones. */
const PACKING_FRACTION = 0.15;
/** Remote candidates are looked at when the wait is longer than this. */
const SPILL_WAIT_MS = 20;
const SPILL_WAIT_FRACTION = 0.3;
/** A remote candidate must be better by this factor; its load is older news. */
const SPILL_FACTOR = 1.3;

/** Options of `EstimatedFirstTokenPolicy`. */
export interface EstimatedFirstTokenOptions {
  /** Returns a number from 0 inclusive to 1 exclusive. */
  readonly random?: () => number;
}

/**
 * Takes the candidate with the shortest estimated time to first token.
 *
 * Among nearly equal candidates, short prompts pick at random, so that hosts
 * with the same news do not all pick the same. Long prompts pick the first by
 * id, which gathers them on few engines and leaves the others to short ones.
 * Engines of other failure domains are sampled only when the local ones make
 * the request wait.
 */
export class EstimatedFirstTokenPolicy extends RoutingPolicy {
  readonly name = 'estimated_first_token';
  private readonly random: () => number;

  constructor(options: EstimatedFirstTokenOptions = {}) {
    super();
    this.random = options.random ?? Math.random;
  }

  choose(request: RoutingRequest, pool: CandidatePool): RoutingDecision {
    const ranked = rank(request, pool.near);
    const chosen = this.pick(request, ranked);
    if (!isWaiting(request, chosen)) {
      return createDecision(request, chosen, ranked);
    }
    const others = rank(request, pool.elsewhere());
    if (others.length === 0) return createDecision(request, chosen, ranked);
    const other = this.pick(request, others);
    const spills = other.estimateMs * SPILL_FACTOR < chosen.estimateMs;
    return createDecision(request, spills ? other : chosen, [
      ...ranked,
      ...others,
    ]);
  }

  private pick(
    request: RoutingRequest,
    ranked: readonly RankedBackend[],
  ): RankedBackend {
    let bestMs = Infinity;
    for (const {estimateMs} of ranked) bestMs = Math.min(bestMs, estimateMs);
    const isLong = ranked.some(({backend}) => isLongFor(request, backend));
    const fraction = isLong ? PACKING_FRACTION : TIE_FRACTION;
    const limitMs = bestMs * (1 + fraction) + TIE_MS;
    const ties = ranked.filter(({estimateMs}) => estimateMs <= limitMs);
    if (!isLong) return ties[Math.floor(this.random() * ties.length)]!;
    return ties.reduce((first, item) =>
      item.backend.id < first.backend.id ? item : first,
    );
  }
}

function rank(
  request: RoutingRequest,
  backends: readonly BackendView[],
): RankedBackend[] {
  return backends.map(backend => ({
    backend,
    estimateMs: estimateFirstTokenMs(request, backend),
  }));
}

function isLongFor(
  {promptTokens}: RoutingRequest,
  {chunkTokens}: BackendView,
): boolean {
  return promptTokens > LONG_STEPS * chunkTokens;
}

/** Whether the request would wait noticeably for others' work. */
function isWaiting(
  request: RoutingRequest,
  {backend, estimateMs}: RankedBackend,
): boolean {
  const tokensPerMs = backend.prefillTokensPerSecond / 1_000;
  const cached = request.cachedTokens(backend.id);
  const unloadedMs = Math.max(0, request.promptTokens - cached) / tokensPerMs;
  const waitMs = estimateMs - unloadedMs;
  return waitMs > SPILL_WAIT_MS + SPILL_WAIT_FRACTION * unloadedMs;
}
