import type {RecordedCandidate} from '@vanillamux/protocol';
import type {BackendView} from './backend_view.js';
import type {RoutingDecision} from './routing_decision.js';
import type {RoutingRequest} from './routing_request.js';

const MAX_RECORDED_CANDIDATES = 4;

/** A backend server with its estimated time to first token. */
export interface BackendEstimate {
  readonly backend: BackendView;
  readonly estimateMs: number;
}

/** Builds the decision for `chosen`, with the best alternatives. */
export function createDecision(
  request: RoutingRequest,
  chosen: BackendEstimate,
  estimates: readonly BackendEstimate[],
): RoutingDecision {
  const alternatives = selectAlternatives(estimates, chosen);
  return {
    backend: chosen.backend,
    estimateMs: chosen.estimateMs,
    cachedTokens: request.cachedTokensOn(chosen.backend.id),
    candidates: [chosen, ...alternatives].map(item =>
      toCandidate(request, item),
    ),
  };
}

/** Returns the alternatives with the lowest estimates, without a full sort. */
function selectAlternatives(
  estimates: readonly BackendEstimate[],
  chosen: BackendEstimate,
): BackendEstimate[] {
  const best: BackendEstimate[] = [];
  for (const item of estimates) {
    if (item === chosen) continue;
    const worst = best.at(-1);
    const isFull = best.length >= MAX_RECORDED_CANDIDATES - 1;
    if (isFull && worst && item.estimateMs >= worst.estimateMs) continue;
    if (isFull) best.pop();
    const insertAt = best.findIndex(
      other => other.estimateMs > item.estimateMs,
    );
    best.splice(insertAt < 0 ? best.length : insertAt, 0, item);
  }
  return best;
}

function toCandidate(
  request: RoutingRequest,
  {backend, estimateMs}: BackendEstimate,
): RecordedCandidate {
  const queuedTokens = backend.prefillByPriority.reduce(
    (sum, tokens) => sum + tokens,
    0,
  );
  return {
    backend: backend.id,
    estimateMs: Math.round(estimateMs),
    queuedTokens: Math.round(queuedTokens),
    cachedTokens: request.cachedTokensOn(backend.id),
  };
}
