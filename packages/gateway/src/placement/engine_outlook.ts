import type {EngineSpec} from '../config/engine_spec.js';
import type {Backend} from '../fleet/backend.js';
import type {LedgerEntry} from '../fleet/ledger_entry.js';
import {lateChance} from './late_chance.js';
import {passMs} from './pass_ms.js';

/** What one engine has to do, and what more work would do to it. */
export class EngineOutlook {
  /** Prompt processing ahead of new work. */
  readonly backlogMs: number;
  /** Context that is, or will be, in its memory. */
  readonly tokens: number;
  /** Sequences that decode, or will. */
  readonly sequences: number;
  private readonly basePassMs: number;
  private readonly streams: readonly LedgerEntry[];

  constructor(
    readonly backend: Backend,
    private readonly spec: EngineSpec,
    private readonly nowMs: number,
  ) {
    const entries = backend.work.entries(nowMs);
    this.streams = entries.filter(({decodeMs}) => decodeMs > 0);
    this.backlogMs = backend.work.backlogMs(nowMs);
    this.tokens = entries.reduce((sum, {tokens}) => sum + tokens, 0);
    this.sequences = Math.max(this.streams.length, backend.estimateLoad(nowMs));
    this.basePassMs = passMs(spec, this.sequences, this.tokens);
  }

  /** Whether no stream would be held up by more work. */
  get isFree(): boolean {
    return this.streams.length === 0;
  }

  /** Expected time to the first event of work whose prompt takes `ms` here. */
  firstEventMs(ms: number): number {
    const isBusy = this.streams.length > 0;
    const waitMs = isBusy ? this.basePassMs / 2 : 0;
    return waitMs + this.backlogMs + ms + this.basePassMs + this.queueMs();
  }

  /** Credit that other requests are expected to lose by `ms` of work here. */
  harm(ms: number): number {
    const beforeMs = this.basePassMs + this.backlogMs;
    let loss = 0;
    for (const stream of this.streams) {
      loss += this.hasBegun(stream)
        ? stream.stake * this.pauseLoss(stream, beforeMs, ms)
        : stream.stake * this.startLoss(stream, ms);
    }
    return loss;
  }

  /** Credit lost by slower steps while one more context is decoded here. */
  contextHarm(tokens: number): number {
    const slowerMs = passMs(this.spec, 1, tokens) - passMs(this.spec, 0, 0);
    return this.harm(slowerMs);
  }

  /** Whether a context fits into its memory beside the present ones. */
  fits(tokens: number): boolean {
    return this.tokens + tokens <= this.spec.memoryTokens;
  }

  /** Wait for a place in the batch. */
  private queueMs(): number {
    const excess = this.sequences + 1 - this.spec.batchSize;
    return excess > 0 ? excess * this.basePassMs * 2 : 0;
  }

  /**
   * Whether its events flow. Of streams that other hosts have placed no first
   * event is heard; they count as begun when it was expected.
   */
  private hasBegun({
    prefillDone,
    prefillEndMs,
    expiresMs,
  }: LedgerEntry): boolean {
    const isForeign = expiresMs < Infinity;
    return prefillDone || (isForeign && prefillEndMs <= this.nowMs);
  }

  private pauseLoss(
    {pauseGoalMs}: LedgerEntry,
    beforeMs: number,
    ms: number,
  ): number {
    return (
      lateChance(beforeMs + ms, pauseGoalMs) - lateChance(beforeMs, pauseGoalMs)
    );
  }

  private startLoss(stream: LedgerEntry, ms: number): number {
    const {placedMs, prefillEndMs, goalMs} = stream;
    const untilMs = Math.max(prefillEndMs, this.nowMs) - placedMs;
    const takesMs = untilMs + this.basePassMs;
    return lateChance(takesMs + ms, goalMs) - lateChance(takesMs, goalMs);
  }
}
