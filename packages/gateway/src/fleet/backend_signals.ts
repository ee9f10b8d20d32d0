import {getLogger, monotonicMs} from '@vanillamux/shared';
import type {DepartureManager} from '../departures/departure_manager.js';
import type {ResponseMetadata} from '../dialect/response_metadata.js';
import type {GatewayMetrics} from '../server/gateway_metrics.js';
import type {Backend} from './backend.js';

const log = getLogger('backends');

/** Options of `BackendSignals`. */
export interface BackendSignalsOptions {
  readonly departures: DepartureManager;
  readonly metrics: Pick<GatewayMetrics, 'countPause'>;
}

/**
 * Acts on what a backend server says of itself: it leaves, is cold, or wants a
 * pause.
 */
export class BackendSignals {
  constructor(private readonly options: BackendSignalsOptions) {}

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
