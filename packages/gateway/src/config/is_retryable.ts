import {RetryPolicy} from './retry_policy.js';
import type {RouteSpec} from './route_spec.js';

/** Whether requests of the route may be retried after a possible run. */
export function isRetryable(route: RouteSpec): boolean {
  return route.isStream
    ? route.isResumable
    : route.retryPolicy === RetryPolicy.Idempotent;
}
