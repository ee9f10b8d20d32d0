import type {BackendView} from './backend_view.js';
import type {RoutingRequest} from './routing_request.js';

const MS_PER_SECOND = 1_000;
/** Added for a backend server in another failure domain. */
const REMOTE_PENALTY_MS = 4;
/** Added when the memory is not free yet and the request would wait for it. */
const MEMORY_WAIT_FACTOR = 1;

/**
 * Estimates the time to first token of a request on a backend server: the
 * prefill work that goes before it, its own uncached prefill and a decode step
 * for the batch.
 */
export function estimateFirstTokenMs(
  request: RoutingRequest,
  backend: BackendView,
): number {
  const cached = Math.min(
    request.cachedTokens(backend.id),
    request.promptTokens,
  );
  const ownWork = request.promptTokens - cached;
  const ahead = countTokensAhead(request.priority, backend);
  const tokensPerMs = backend.prefillTokensPerSecond / MS_PER_SECOND;
  const remoteMs = backend.isLocal ? 0 : REMOTE_PENALTY_MS;
  const missing = ownWork + request.maxTokens - backend.freeTokens;
  const memoryWaitMs =
    missing > 0 ? (missing / tokensPerMs) * MEMORY_WAIT_FACTOR : 0;
  const batchMs = backend.runningStreams > 0 ? backend.decodeStepMs : 0;
  return (ahead + ownWork) / tokensPerMs + batchMs + memoryWaitMs + remoteMs;
}

/** Prefill tokens that the engine would process before this request. */
function countTokensAhead(priority: number, backend: BackendView): number {
  let tokens = backend.othersPrefillTokens;
  backend.ownPrefillTokens.forEach((own, level) => {
    if (level <= priority) tokens += own;
  });
  return tokens;
}
