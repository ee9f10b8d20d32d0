import {getLogger, monotonicMs} from '@vanillamux/shared';
import type {DepartureManager} from '../departures/departure_manager.js';
import type {FailingBackends} from '../failing_backends/failing_backends.js';
import type {ResponseMetadata} from '../dialect/response_metadata.js';
import type {GatewayMetrics} from '../server/gateway_metrics.js';
import type {Backend} from './backend.js';

const log = getLogger('backends');

const MIN_SERVER_ERROR_STATUS = 500;
/** Statuses of requests that found no room or no time, which is no fault. */
const OVERLOAD_STATUSES: ReadonlySet<number> = new Set([503, 504]);

/** Options of `BackendSignals`. */
export interface BackendSignalsOptions {
  readonly departures: DepartureManager;
  readonly failing: Pick<FailingBackends, 'learn'>;
  readonly metrics: Pick<GatewayMetrics, 'countPause'>;
}

/**
 * Acts on what a backend server says of itself: it leaves, is cold, or wants a
 * pause.
 */
export class BackendSignals {
  constructor(private readonly options: BackendSignalsOptions) {}

  /** Learns from the status of a genuine response whether it is a failure. */
  learnStatus(backend: Backend, status: number, requestId: string): void {
    const isFailure =
      status >= MIN_SERVER_ERROR_STATUS && !OVERLOAD_STATUSES.has(status);
    if (isFailure) this.options.failing.learn(backend, requestId);
  }

  /** Learns from a response of the backend server itself. */
  learn(
    backend: Backend,
    {
      isLeaving,
      coldForMs,
      pauseMs = 0,
    }: Pick<ResponseMetadata, 'isLeaving' | 'coldForMs' | 'pauseMs'>,
    requestId: string,
  ): void {
    if (isLeaving) this.options.departures.learn(backend, requestId);
    const nowMs = monotonicMs();
    if (coldForMs !== undefined) backend.cold.recordResponse(coldForMs, nowMs);
    if (pauseMs <= 0) return;
    const {id, service, incarnation} = backend.presence;
    log.info('A backend server wants a pause.', {
      request: requestId,
      backend: id,
      incarnation,
      pauseMs,
      remainingMs: Math.round(backend.pause.remainingMs(nowMs)),
    });
    backend.pause.extend(pauseMs, nowMs);
    this.options.metrics.countPause(service);
  }
}
