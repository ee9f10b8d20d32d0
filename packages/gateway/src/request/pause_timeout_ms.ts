import {monotonicMs} from '@vanillamux/shared';
import {isRetryable} from '../config/is_retryable.js';
import type {ClientRequest} from './client_request.js';

/** Multiple of the aimed pause after which a stream is given up. */
const PAUSE_TIMEOUT_FACTOR = 4;
const MIN_PAUSE_TIMEOUT_MS = 1_000;

/**
 * Pause between events after which a stream is continued elsewhere. A stream
 * that may not be continued is waited for as long as there is time.
 */
export function pauseTimeoutMs(
  request: ClientRequest,
  isLastAttempt: boolean,
): number {
  const {route, deadlineMs} = request;
  if (isLastAttempt || !isRetryable(route)) {
    return Math.max(1, deadlineMs - monotonicMs());
  }
  const timeoutMs = PAUSE_TIMEOUT_FACTOR * (route.pauseGoalMs ?? 0);
  return Math.max(MIN_PAUSE_TIMEOUT_MS, timeoutMs);
}
