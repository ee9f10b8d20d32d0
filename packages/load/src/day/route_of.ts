import {RetryPolicy, type RouteSpec} from '@vanillamux/gateway';
import type {DayArrival} from './day_arrival.js';

/** The route of an arrival; placement looks at its goals alone. */
export function routeOf({kind}: DayArrival): RouteSpec {
  return {
    name: kind.name,
    host: 'virtual.example',
    pathPrefix: '/',
    retryPolicy: RetryPolicy.Idempotent,
    isStream: true,
    isResumable: true,
    timeoutMs: kind.deadlineMs,
    latencyGoalMs: kind.goalMs,
    pauseGoalMs: kind.pauseGoalMs,
    priority: 1,
    targets: [{service: 'engines', weight: 1}],
    maxAttempts: 2,
    isAnonymous: false,
  };
}
