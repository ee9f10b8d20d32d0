import {monotonicMs} from '@vanillamux/shared';
import {isRetryable} from '../config/is_retryable.js';
import type {ClientRequest} from './client_request.js';

/** Share of the time left after which a repeatable request is sent again. */
const REMAINING_TIME_SHARE = 0.5;
/** Least time that a backend server is given before a request is repeated. */
const MIN_RESPONSE_HEAD_TIMEOUT_MS = 400;
/** Multiple of the aimed time after which an answer is given up. */
const GOAL_TIMEOUT_FACTOR = 4;
/** First events come after the whole prompt has been processed. */
const MIN_FIRST_EVENT_TIMEOUT_MS = 1_500;
const FIRST_EVENT_TIMEOUT_FACTOR = 3;

/**
 * Time to the head of the answer, or to the first event of a stream, after
 * which an attempt is given up. The last attempt has all the time there is.
 */
export function responseHeadTimeoutMs(
  request: ClientRequest,
  isLastAttempt: boolean,
): number {
  const {route} = request;
  const remainingMs = Math.max(1, request.deadlineMs - monotonicMs());
  if (isLastAttempt || !isRetryable(route)) return remainingMs;
  if (route.isStream) {
    const timeoutMs = FIRST_EVENT_TIMEOUT_FACTOR * route.latencyGoalMs;
    return Math.min(
      remainingMs,
      Math.max(timeoutMs, MIN_FIRST_EVENT_TIMEOUT_MS),
    );
  }
  const timeoutMs = Math.max(
    MIN_RESPONSE_HEAD_TIMEOUT_MS,
    GOAL_TIMEOUT_FACTOR * route.latencyGoalMs,
  );
  return Math.min(timeoutMs, Math.max(1, remainingMs * REMAINING_TIME_SHARE));
}
