import {Counter, Histogram, Registry} from 'prom-client';
import type {RouteSpec} from '../config/route_spec.js';
import type {AttemptEnd} from '../request/attempt_end.js';

const MS_PER_SECOND = 1_000;
const DURATION_BUCKETS_S = [0.05, 0.1, 0.2, 0.3, 0.5, 1, 2, 3, 5, 10, 15];

/** Counters and histograms of an entry host. */
export class GatewayMetrics {
  private readonly registry = new Registry();
  private readonly ends = new Counter({
    name: 'vmux_gateway_requests_total',
    help: 'Requests that were matched with a route, by how they ended.',
    labelNames: ['sort', 'end'],
    registers: [this.registry],
  });
  private readonly refusals = new Counter({
    name: 'vmux_gateway_refusals_total',
    help: 'Requests that were refused before they were matched, by status.',
    labelNames: ['status'],
    registers: [this.registry],
  });
  private readonly attempts = new Counter({
    name: 'vmux_gateway_attempts_total',
    help: 'Requests sent to backend servers, by service.',
    labelNames: ['service'],
    registers: [this.registry],
  });
  private readonly durations = new Histogram({
    name: 'vmux_gateway_request_seconds',
    help: 'Time from the head of a request to the end of its answer.',
    labelNames: ['sort'],
    buckets: DURATION_BUCKETS_S,
    registers: [this.registry],
  });

  /** A request has ended. */
  noteEnd(route: RouteSpec, end: AttemptEnd, durationMs: number): void {
    const sort = route.isStream ? 'stream' : route.repeat;
    this.ends.inc({sort, end});
    this.durations.observe({sort}, durationMs / MS_PER_SECOND);
  }

  /** A request was refused before it was matched. */
  noteRefusal(status: number): void {
    this.refusals.inc({status});
  }

  /** A request was sent to a backend server. */
  noteAttempt(service: string): void {
    this.attempts.inc({service});
  }

  /** All metrics in the Prometheus text format. */
  render(): Promise<string> {
    return this.registry.metrics();
  }
}
