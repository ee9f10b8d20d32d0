import type {EngineSpec} from '../config/engine_spec.js';
import type {Backend} from '../fleet/backend.js';
import type {TrackedWork} from '../fleet/tracked_work.js';
import {missProbability} from './miss_probability.js';
import {iterationMs} from './iteration_ms.js';

/** What one engine has to do, and what more work would do to it. */
export class EngineCostModel {
  /** Prompt processing ahead of new work. */
  readonly backlogMs: number;
  /** Context that is, or will be, in its memory. */
  readonly contextTokens: number;
  /** Sequences that decode, or will. */
  readonly sequences: number;
  private readonly baseIterationMs: number;
  private readonly streams: readonly TrackedWork[];

  constructor(
    readonly backend: Backend,
    private readonly spec: EngineSpec,
    private readonly nowMs: number,
  ) {
    const entries = backend.work.entries(nowMs);
    this.streams = entries.filter(({decodeMs}) => decodeMs > 0);
    this.backlogMs = backend.work.backlogMs(nowMs);
    this.contextTokens = entries.reduce(
      (sum, {contextTokens: contextTokens}) => sum + contextTokens,
      0,
    );
    this.sequences = Math.max(this.streams.length, backend.estimateLoad(nowMs));
    this.baseIterationMs = iterationMs(
      spec,
      this.sequences,
      this.contextTokens,
    );
  }

  /** Whether no stream would be held up by more work. */
  get hasNoStreams(): boolean {
    return this.streams.length === 0;
  }

  /** Expected time to the first event of work whose prompt takes `ms` here. */
  predictedFirstEventMs(prefillMs: number): number {
    const isBusy = this.streams.length > 0;
    const waitMs = isBusy ? this.baseIterationMs / 2 : 0;
    return (
      waitMs +
      this.backlogMs +
      prefillMs +
      this.baseIterationMs +
      this.queueingDelayMs()
    );
  }

  /** Credit that other requests are expected to lose by `ms` of work here. */
  predictedLoss(addedMs: number): number {
    const pauseMs = this.baseIterationMs + this.backlogMs;
    let loss = 0;
    for (const stream of this.streams) {
      loss += this.isStreaming(stream)
        ? stream.lossIfLate * this.pauseMissIncrease(stream, pauseMs, addedMs)
        : stream.lossIfLate * this.firstEventMissIncrease(stream, addedMs);
    }
    return loss;
  }

  /** Credit lost by slower steps while one more context is decoded here. */
  predictedDecodeLoss(contextTokens: number): number {
    const slowdownMs =
      iterationMs(this.spec, 1, contextTokens) - iterationMs(this.spec, 0, 0);
    return this.predictedLoss(slowdownMs);
  }

  /** Whether a context fits into its memory beside the present ones. */
  hasCapacityFor(contextTokens: number): boolean {
    return this.contextTokens + contextTokens <= this.spec.memoryTokens;
  }

  /** Wait for a place in the batch. */
  private queueingDelayMs(): number {
    const excess = this.sequences + 1 - this.spec.batchSize;
    return excess > 0 ? excess * this.baseIterationMs * 2 : 0;
  }

  /**
   * Whether its events flow. Of streams that other hosts have placed no first
   * event is heard; they count as begun when it was expected.
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
    const {placedMs, prefillEndMs, firstEventGoalMs: firstEventGoalMs} = stream;
    const toPrefillEndMs = Math.max(prefillEndMs, this.nowMs) - placedMs;
    const firstEventMs = toPrefillEndMs + this.baseIterationMs;
    return (
      missProbability(firstEventMs + addedMs, firstEventGoalMs) -
      missProbability(firstEventMs, firstEventGoalMs)
    );
  }
}
