import {monotonicMs} from '@vanillamux/shared';
import {isRetryable} from '../config/is_retryable.js';
import type {ClientRequest} from './client_request.js';

/** Share of the time left after which a repeatable request is sent again. */
const PATIENCE_SHARE = 0.5;
/** Least time that a backend server is given before a request is repeated. */
const MIN_PATIENCE_MS = 400;
/** Multiple of the aimed time after which an answer is given up. */
const GOAL_PATIENCE = 4;
/** First events come after the whole prompt has been processed. */
const MIN_FIRST_EVENT_TIMEOUT_MS = 1_500;
const FIRST_EVENT_PATIENCE = 3;

/**
 * Time to the head of the answer, or to the first event of a stream, after
 * which an attempt is given up. The last attempt has all the time there is.
 */
export function headTimeoutMs(request: ClientRequest, isLast: boolean): number {
  const {route} = request;
  const leftMs = Math.max(1, request.deadlineMs - monotonicMs());
  if (isLast || !isRetryable(route)) return leftMs;
  if (route.isStream) {
    const patienceMs = FIRST_EVENT_PATIENCE * route.latencyGoalMs;
    return Math.min(leftMs, Math.max(patienceMs, MIN_FIRST_EVENT_TIMEOUT_MS));
  }
  const patienceMs = Math.max(
    MIN_PATIENCE_MS,
    GOAL_PATIENCE * route.latencyGoalMs,
  );
  return Math.min(patienceMs, Math.max(1, leftMs * PATIENCE_SHARE));
}
