import {RetryPolicy} from './retry_policy.js';
import type {RouteSpec} from './route_spec.js';

/** Whether a request of the route may run at another backend server too. */
export function isRetryable(route: RouteSpec): boolean {
  return route.isStream
    ? route.isResumable
    : route.retryPolicy === RetryPolicy.Idempotent;
}
