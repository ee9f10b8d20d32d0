import {RepeatRule} from './repeat_rule.js';
import type {RouteSpec} from './route_spec.js';

/** Whether a request of the route may run at another backend server too. */
export function isRepeatable(route: RouteSpec): boolean {
  return route.isStream
    ? route.isResumable
    : route.repeat === RepeatRule.Idempotent;
}
