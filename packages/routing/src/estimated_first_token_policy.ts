import type {BackendView} from './backend_view.js';
import type {CandidatePool} from './candidate_pool.js';
import {createDecision, type BackendEstimate} from './create_decision.js';
import {estimateFirstTokenMs} from './estimate_first_token_ms.js';
import type {RoutingDecision} from './routing_decision.js';
import {RoutingPolicy} from './routing_policy.js';
import type {RoutingRequest} from './routing_request.js';

const TIE_FRACTION = 0.05;
const TIE_MS = 2;
/** A prompt that takes so many engine steps counts as long. */
const LONG_PROMPT_STEPS = 8;
/** What a long prompt may lose to share an engine with other long ones. */
const PACKING_FRACTION = 0.15;
/** Remote candidates are looked at when the wait is longer than this. */
const SPILLOVER_DELAY_MS = 20;
const SPILLOVER_DELAY_FRACTION = 0.3;
/** A remote candidate must be better by this factor; its load is older news. */
const SPILLOVER_FACTOR = 1.3;

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
    const preferredEstimates = estimateAll(request, pool.preferred);
    const preferred = this.selectBest(request, preferredEstimates);
    if (!isQueueingDelayHigh(request, preferred)) {
      return createDecision(request, preferred, preferredEstimates);
    }
    const remoteEstimates = estimateAll(request, pool.sampleRemote());
    if (remoteEstimates.length === 0)
      return createDecision(request, preferred, preferredEstimates);
    const remote = this.selectBest(request, remoteEstimates);
    const isSpillover =
      remote.estimateMs * SPILLOVER_FACTOR < preferred.estimateMs;
    return createDecision(request, isSpillover ? remote : preferred, [
      ...preferredEstimates,
      ...remoteEstimates,
    ]);
  }

  private selectBest(
    request: RoutingRequest,
    estimates: readonly BackendEstimate[],
  ): BackendEstimate {
    let bestMs = Infinity;
    for (const {estimateMs} of estimates) bestMs = Math.min(bestMs, estimateMs);
    const isLong = estimates.some(({backend}) =>
      isLongPrompt(request, backend),
    );
    const fraction = isLong ? PACKING_FRACTION : TIE_FRACTION;
    const tieLimitMs = bestMs * (1 + fraction) + TIE_MS;
    const ties = estimates.filter(({estimateMs}) => estimateMs <= tieLimitMs);
    if (!isLong) return ties[Math.floor(this.random() * ties.length)]!;
    return ties.reduce((first, item) =>
      item.backend.id < first.backend.id ? item : first,
    );
  }
}

function estimateAll(
  request: RoutingRequest,
  backends: readonly BackendView[],
): BackendEstimate[] {
  return backends.map(backend => ({
    backend,
    estimateMs: estimateFirstTokenMs(request, backend),
  }));
}

function isLongPrompt(
  {promptTokens}: RoutingRequest,
  {chunkTokens}: BackendView,
): boolean {
  return promptTokens > LONG_PROMPT_STEPS * chunkTokens;
}

/** Whether the request would wait noticeably for others' work. */
function isQueueingDelayHigh(
  request: RoutingRequest,
  {backend, estimateMs}: BackendEstimate,
): boolean {
  const tokensPerMs = backend.prefillTokensPerSecond / 1_000;
  const cachedTokens = request.cachedTokensOn(backend.id);
  const unloadedMs =
    Math.max(0, request.promptTokens - cachedTokens) / tokensPerMs;
  const queueingDelayMs = estimateMs - unloadedMs;
  return (
    queueingDelayMs > SPILLOVER_DELAY_MS + SPILLOVER_DELAY_FRACTION * unloadedMs
  );
}
