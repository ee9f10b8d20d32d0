import {monotonicMs} from '@vanillamux/shared';
import {isRetryable} from '../config/is_retryable.js';
import type {ClientRequest} from './client_request.js';

/** Share of the remaining time after which a retryable request is retried. */
const REMAINING_TIME_SHARE = 0.5;
/** Shortest timeout, unless the share of the remaining time is shorter. */
const MIN_RESPONSE_HEAD_TIMEOUT_MS = 400;
/** Multiple of the latency goal after which an attempt is cancelled. */
const GOAL_TIMEOUT_FACTOR = 4;
/** Shortest timeout of a first event, which follows the whole prefill. */
const MIN_FIRST_EVENT_TIMEOUT_MS = 1_500;
/** Multiple of the latency goal within which the first event must arrive. */
const FIRST_EVENT_TIMEOUT_FACTOR = 3;

/**
 * Returns the time to the response head, or to the first event of a stream,
 * after which an attempt is cancelled. The last attempt and requests that may
 * not be retried have until the deadline.
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
