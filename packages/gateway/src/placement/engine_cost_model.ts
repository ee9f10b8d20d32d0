import type {ColdSlowdown} from '../cold_backends/cold_slowdown.js';
import {stretchByCold} from '../cold_backends/stretch_by_cold.js';
import type {EngineSpec} from '../config/engine_spec.js';
import type {Backend} from '../fleet/backend.js';
import type {TrackedWork} from '../fleet/tracked_work.js';
import {missProbability} from './miss_probability.js';
import {iterationMs} from './iteration_ms.js';

/** Predicts the latency and the expected loss of more work on one engine. */
export class EngineCostModel {
  /** Prefill time that is queued ahead of new work. */
  readonly backlogMs: number;
  /** Context tokens that are, or will be, in the KV memory of the engine. */
  readonly contextTokens: number;
  /** Sequences that decode or will decode; at least the estimated load. */
  readonly sequences: number;
  private readonly baseIterationMs: number;
  /** Factor on the declared times; above 1 for a slow engine. */
  private readonly pace: number;
  /** Holds for a while, unlike `pace`, so that its end is known beforehand. */
  private readonly cold: ColdSlowdown;
  private readonly streams: readonly TrackedWork[];

  constructor(
    readonly backend: Backend,
    private readonly spec: EngineSpec,
    private readonly nowMs: number,
  ) {
    const entries = backend.work.entries(nowMs);
    this.streams = entries.filter(({decodeMs}) => decodeMs > 0);
    this.pace = backend.pace.factor(nowMs);
    this.cold = backend.coldSlowdown(nowMs);
    this.backlogMs = this.pace * backend.work.backlogMs(nowMs);
    this.contextTokens = entries.reduce(
      (sum, {contextTokens}) => sum + contextTokens,
      0,
    );
    this.sequences = Math.max(this.streams.length, backend.estimateLoad(nowMs));
    this.baseIterationMs =
      this.pace * iterationMs(spec, this.sequences, this.contextTokens);
  }

  /** Whether the engine has no stream that more work would delay. */
  get hasNoStreams(): boolean {
    return this.streams.length === 0;
  }

  /** Expected time to the first event of work with this prefill time. */
  predictedFirstEventMs(prefillMs: number): number {
    const isBusy = this.streams.length > 0;
    const waitMs = isBusy ? this.baseIterationMs / 2 : 0;
    return stretchByCold(
      waitMs +
        this.backlogMs +
        this.pace * prefillMs +
        this.baseIterationMs +
        this.queueingDelayMs(),
      this.cold,
    );
  }

  /** Expected loss of the requests on the engine when work is added. */
  predictedLoss(addedPrefillMs: number): number {
    const paceMs = this.pace * addedPrefillMs;
    const pacePauseMs = this.baseIterationMs + this.backlogMs;
    const pauseMs = stretchByCold(pacePauseMs, this.cold);
    const addedMs = stretchByCold(pacePauseMs + paceMs, this.cold) - pauseMs;
    let loss = 0;
    for (const stream of this.streams) {
      loss += this.isStreaming(stream)
        ? stream.lossIfLate * this.pauseMissIncrease(stream, pauseMs, addedMs)
        : stream.lossIfLate * this.firstEventMissIncrease(stream, addedMs);
    }
    return loss;
  }

  /** Expected loss from slower steps while one more context is decoded. */
  predictedDecodeLoss(contextTokens: number): number {
    const slowdownMs =
      iterationMs(this.spec, 1, contextTokens) - iterationMs(this.spec, 0, 0);
    return this.predictedLoss(slowdownMs);
  }

  /** Whether the KV memory has capacity for one more context. */
  hasCapacityFor(contextTokens: number): boolean {
    return this.contextTokens + contextTokens <= this.spec.memoryTokens;
  }

  /** Queueing delay until the batch has a free slot. */
  private queueingDelayMs(): number {
    const excess = this.sequences + 1 - this.spec.batchSize;
    return excess > 0 ? excess * this.baseIterationMs * 2 : 0;
  }

  /**
   * Whether the stream has sent its first event. Peers send no notice of first
   * events, so peer work counts as streaming from the expected end of its
   * prefill.
   */
  private isStreaming({
    prefillDone,
    prefillEndMs,
    expiresMs,
  }: TrackedWork): boolean {
    const isPeerWork = expiresMs < Infinity;
    return prefillDone || (isPeerWork && prefillEndMs <= this.nowMs);
  }

  private pauseMissIncrease(
    {pauseGoalMs}: TrackedWork,
    pauseMs: number,
    addedMs: number,
  ): number {
    return (
      missProbability(pauseMs + addedMs, pauseGoalMs) -
      missProbability(pauseMs, pauseGoalMs)
    );
  }

  private firstEventMissIncrease(stream: TrackedWork, addedMs: number): number {
    const {placedMs, prefillEndMs, firstEventGoalMs} = stream;
    const toPrefillEndMs = Math.max(prefillEndMs, this.nowMs) - placedMs;
    const firstEventMs = toPrefillEndMs + this.baseIterationMs;
    return (
      missProbability(firstEventMs + addedMs, firstEventGoalMs) -
      missProbability(firstEventMs, firstEventGoalMs)
    );
  }
}
