import {
  RetryPolicy,
  type EngineSpec,
  type GatewayConfig,
  type RouteSpec,
} from '../src/index.js';

/** Costs of an engine in tests: a step of 1 ms, 200 prompt tokens per ms. */
export const ENGINE: EngineSpec = {
  batchSize: 11,
  memoryTokens: 232_000,
  stepMs: 1,
  stepMsPerSequence: 0.003,
  stepMsPerThousandTokens: 0.004,
  prefillTokensPerMs: 200,
  prefillMsPerMillionPairs: 0.14,
  stepsPerPass: 43,
  chunkTokens: 2_048,
};

/** A route to the service `notes`. */
export function createRoute(fields: Partial<RouteSpec>): RouteSpec {
  return {
    name: 'route',
    host: 'main.example',
    pathPrefix: '/',
    retryPolicy: RetryPolicy.Idempotent,
    isStream: false,
    isResumable: false,
    timeoutMs: 1_000,
    latencyGoalMs: 100,
    priority: 1,
    targets: [{service: 'notes', weight: 1}],
    maxAttempts: 2,
    isAnonymous: false,
    ...fields,
  };
}

/** A configuration with one service and one route. */
export function createConfig(fields: Partial<GatewayConfig>): GatewayConfig {
  return {
    version: 1,
    routes: [createRoute({})],
    services: [{name: 'notes', healthPath: '/', maxConnections: 10}],
    limits: {
      maxHeaderBytes: 16_384,
      maxBodyBytes: 1_048_576,
      headerTimeoutMs: 3_000,
      idleTimeoutMs: 15_000,
    },
    ...fields,
  };
}
