import {monotonicMs} from '@vanillamux/shared';
import {isRetryable} from '../config/is_retryable.js';
import type {ClientRequest} from './client_request.js';

/** Multiple of the aimed pause after which a stream is given up. */
const PAUSE_PATIENCE = 4;
const MIN_PAUSE_TIMEOUT_MS = 1_000;

/**
 * Pause between events after which a stream is continued elsewhere. A stream
 * that may not be continued is waited for as long as there is time.
 */
export function pauseTimeoutMs(
  request: ClientRequest,
  isLast: boolean,
): number {
  const {route, deadlineMs} = request;
  if (isLast || !isRetryable(route)) {
    return Math.max(1, deadlineMs - monotonicMs());
  }
  const pauseMs = PAUSE_PATIENCE * (route.pauseGoalMs ?? 0);
  return Math.max(MIN_PAUSE_TIMEOUT_MS, pauseMs);
}
