import {RetryPolicy, type RouteSpec} from '@vanillamux/gateway';
import type {RequestClass} from './day_spec.js';

/** Creates the route of a class; placement uses nothing but its goals. */
export function createRoute(requestClass: RequestClass): RouteSpec {
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
    priority: requestClass.priority,
    targets: [{service: 'engines', weight: 1}],
    maxAttempts: 2,
    isAnonymous: false,
  };
}
