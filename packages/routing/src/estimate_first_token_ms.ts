import type {BackendView} from './backend_view.js';
import type {RoutingRequest} from './routing_request.js';

const MS_PER_SECOND = 1_000;
/** Added for a backend server in another failure domain. */
const REMOTE_PENALTY_MS = 4;
/** Share of a running step that is left, on average, when a request arrives. */
const RESIDUAL_STEP = 0.5;

/**
 * Estimates the time to first token of a request on a backend server: the
 * prefill work that goes before it, its own uncached prefill, and what the
 * steps take longer because less urgent prefill and decode share them.
 */
export function estimateFirstTokenMs(
  request: RoutingRequest,
  backend: BackendView,
): number {
  const {prefillByPriority, chunkTokens, runningStreams} = backend;
  const tokensPerMs = backend.prefillTokensPerSecond / MS_PER_SECOND;
  const cached = Math.min(
    request.cachedTokens(backend.id),
    request.promptTokens,
  );
  const ownWork = request.promptTokens - cached;
  let ahead = 0;
  let behind = 0;
  for (let level = 0; level < prefillByPriority.length; level++) {
    if (level <= request.priority) ahead += prefillByPriority[level]!;
    else behind += prefillByPriority[level]!;
  }
  const work = ahead + ownWork;
  const steps = Math.ceil(work / chunkTokens);
  // Engines fill a step up with less urgent prefill, which lengthens it.
  const filler = Math.min(behind, steps * chunkTokens - work);
  const residual =
    behind > 0 ? RESIDUAL_STEP * Math.min(behind, chunkTokens) : 0;
  const decodeMs = runningStreams > 0 ? steps * backend.decodeStepMs : 0;
  const missing = ownWork + request.maxTokens - backend.freeTokens;
  const waitTokens = Math.max(0, missing);
  const remoteMs = backend.isLocal ? 0 : REMOTE_PENALTY_MS;
  const tokens = work + filler + residual + waitTokens;
  return tokens / tokensPerMs + decodeMs + remoteMs;
}
