import {RetryPolicy, type RouteSpec} from '@vanillamux/gateway';
import type {DayArrival} from './day_arrival.js';

/** The route of an arrival; placement looks at its goals alone. */
export function createRoute({
  requestClass: requestClass,
}: DayArrival): RouteSpec {
  return {
    name: requestClass.name,
    host: 'virtual.example',
    pathPrefix: '/',
    retryPolicy: RetryPolicy.Idempotent,
    isStream: true,
    isResumable: true,
    timeoutMs: requestClass.deadlineMs,
    latencyGoalMs: requestClass.goalMs,
    pauseGoalMs: requestClass.pauseGoalMs,
    priority: 1,
    targets: [{service: 'engines', weight: 1}],
    maxAttempts: 2,
    isAnonymous: false,
  };
}
