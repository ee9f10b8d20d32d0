import type {BackendView} from './backend_view.js';
import type {RoutingRequest} from './routing_request.js';

const MS_PER_SECOND = 1_000;
/** Added for a backend server in another failure domain. */
const REMOTE_PENALTY_MS = 4;
/** Share of a running step that is left, on average, when a request arrives. */
const RESIDUAL_STEP_FRACTION = 0.5;

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
  const cachedTokens = Math.min(
    request.cachedTokensOn(backend.id),
    request.promptTokens,
  );
  const uncachedTokens = request.promptTokens - cachedTokens;
  let aheadTokens = 0;
  let lowerPriorityTokens = 0;
  for (let level = 0; level < prefillByPriority.length; level++) {
    if (level <= request.priority) aheadTokens += prefillByPriority[level]!;
    else lowerPriorityTokens += prefillByPriority[level]!;
  }
  const prefillTokens = aheadTokens + uncachedTokens;
  const steps = Math.ceil(prefillTokens / chunkTokens);
  // Engines fill a step up with less urgent prefill, which lengthens it.
  const fillerTokens = Math.min(
    lowerPriorityTokens,
    steps * chunkTokens - prefillTokens,
  );
  const residualTokens =
    lowerPriorityTokens > 0
      ? RESIDUAL_STEP_FRACTION * Math.min(lowerPriorityTokens, chunkTokens)
      : 0;
  const decodeMs = runningStreams > 0 ? steps * backend.decodeStepMs : 0;
  const missingTokens = uncachedTokens + request.maxTokens - backend.freeTokens;
  const memoryWaitTokens = Math.max(0, missingTokens);
  const remoteMs = backend.isLocal ? 0 : REMOTE_PENALTY_MS;
  const totalTokens =
    prefillTokens + fillerTokens + residualTokens + memoryWaitTokens;
  return totalTokens / tokensPerMs + decodeMs + remoteMs;
}
