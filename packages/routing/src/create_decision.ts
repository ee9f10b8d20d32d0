import type {RecordedCandidate} from '@vanillamux/protocol';
import type {BackendView} from './backend_view.js';
import type {RoutingDecision} from './routing_decision.js';
import type {RoutingRequest} from './routing_request.js';

const MAX_RECORDED_CANDIDATES = 4;

/** A candidate with its estimate. */
export interface RankedBackend {
  readonly backend: BackendView;
  readonly estimateMs: number;
}

/** Builds the decision for `chosen`, with the best other candidates. */
export function createDecision(
  request: RoutingRequest,
  chosen: RankedBackend,
  ranked: readonly RankedBackend[],
): RoutingDecision {
  const others = takeBest(ranked, chosen);
  return {
    backend: chosen.backend,
    estimateMs: chosen.estimateMs,
    cachedTokens: request.cachedTokens(chosen.backend.id),
    candidates: [chosen, ...others].map(item => toCandidate(request, item)),
  };
}

/** The best others, without sorting all of them. */
function takeBest(
  ranked: readonly RankedBackend[],
  chosen: RankedBackend,
): RankedBackend[] {
  const best: RankedBackend[] = [];
  for (const item of ranked) {
    if (item === chosen) continue;
    const worst = best.at(-1);
    const isFull = best.length >= MAX_RECORDED_CANDIDATES - 1;
    if (isFull && worst && item.estimateMs >= worst.estimateMs) continue;
    if (isFull) best.pop();
    const at = best.findIndex(other => other.estimateMs > item.estimateMs);
    best.splice(at < 0 ? best.length : at, 0, item);
  }
  return best;
}

function toCandidate(
  request: RoutingRequest,
  {backend, estimateMs}: RankedBackend,
): RecordedCandidate {
  const queued = backend.prefillByPriority.reduce(
    (sum, tokens) => sum + tokens,
    0,
  );
  return {
    backend: backend.id,
    estimateMs: Math.round(estimateMs),
    queuedTokens: Math.round(queued),
    cachedTokens: request.cachedTokens(backend.id),
  };
}
