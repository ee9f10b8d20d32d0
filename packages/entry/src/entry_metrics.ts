import {addGauge} from '@vanillamux/control';
import type {RunState} from '@vanillamux/shared';
import {collectDefaultMetrics, Counter, Histogram, Registry} from 'prom-client';

const MS_PER_SECOND = 1_000;
/** Coarse, because each sample wakes an idle process. */
const EVENT_LOOP_SAMPLE_INTERVAL_MS = 200;
const FIRST_TOKEN_BUCKETS_S = [
  0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10, 30, 60,
];
const PROMPT_LENGTH_BUCKETS: ReadonlyArray<readonly [number, string]> = [
  [4_000, '4k'],
  [32_000, '32k'],
  [100_000, '100k'],
  [500_000, '500k'],
];

/** Metrics of an entry host. No label grows with the workspaces. */
export class EntryMetrics {
  readonly registry = new Registry();
  readonly admitted = new Counter({
    name: 'vmux_requests_admitted_total',
    help: 'Requests admitted, by class of work.',
    labelNames: ['class'],
    registers: [this.registry],
  });
  readonly refused = new Counter({
    name: 'vmux_requests_refused_total',
    help: 'Requests refused before they ran, by error code.',
    labelNames: ['code'],
    registers: [this.registry],
  });
  private readonly ended = new Counter({
    name: 'vmux_requests_ended_total',
    help: 'Admitted requests that ended, by what is known of their run.',
    labelNames: ['ran'],
    registers: [this.registry],
  });
  private readonly firstTokenSeconds = new Histogram({
    name: 'vmux_first_token_seconds',
    help: 'Time to first token, by prompt length.',
    labelNames: ['length'],
    buckets: FIRST_TOKEN_BUCKETS_S,
    registers: [this.registry],
  });

  constructor() {
    collectDefaultMetrics({
      register: this.registry,
      eventLoopMonitoringPrecision: EVENT_LOOP_SAMPLE_INTERVAL_MS,
    });
  }

  /** Adds a gauge whose value is read when metrics are collected. */
  addGauge(name: string, help: string, read: () => number): void {
    addGauge(this.registry, name, help, read);
  }

  /** Counts the end of a request and its time to first token. */
  recordOutcome(
    ran: RunState,
    promptTokens?: number,
    firstTokenMs?: number,
  ): void {
    this.ended.inc({ran});
    if (promptTokens === undefined || firstTokenMs === undefined) return;
    const length =
      PROMPT_LENGTH_BUCKETS.find(([limit]) => promptTokens <= limit)?.[1] ??
      '1m';
    this.firstTokenSeconds.observe({length}, firstTokenMs / MS_PER_SECOND);
  }
}
