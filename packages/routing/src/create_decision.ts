import type {Candidate} from '@vanillamux/protocol';
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
  const others = ranked
    .filter(({backend}) => backend.id !== chosen.backend.id)
    .sort((a, b) => a.estimateMs - b.estimateMs)
    .slice(0, MAX_RECORDED_CANDIDATES - 1);
  return {
    backend: chosen.backend,
    estimateMs: chosen.estimateMs,
    cachedTokens: request.cachedTokens(chosen.backend.id),
    candidates: [chosen, ...others].map(item => toCandidate(request, item)),
  };
}

function toCandidate(
  request: RoutingRequest,
  {backend, estimateMs}: RankedBackend,
): Candidate {
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
