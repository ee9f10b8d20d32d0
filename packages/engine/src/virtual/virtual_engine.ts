import {prefillMs, stepMs, type EngineSpec} from '@vanillamux/gateway';
import {MAX_HELPER_ENTRIES} from './max_helper_entries.js';
import type {VirtualClock} from './virtual_clock.js';
import type {VirtualWork} from './virtual_work.js';

interface ScheduledWork {
  readonly work: VirtualWork;
  readonly isPrefillShare: boolean;
  remainingPromptTokens: number;
  remainingPairs: number;
  remainingOutputTokens: number;
  /** Prefill shares of the prompt that other engines have not processed yet. */
  pendingRemoteShares: number;
  /** Whether the first event has been emitted. */
  isDecoding: boolean;
}

/** Handle of submitted work. */
export interface WorkHandle {
  /** Records that another engine has processed its prefill share. */
  completeRemoteShare(): void;
  /** Removes the work; no event follows. */
  cancel(): void;
}

/**
 * Simulates an engine in virtual time with the costs that its service declares.
 * A scheduling iteration runs `stepsPerPass` steps while any sequence decodes,
 * otherwise one, and each step also processes up to `chunkTokens` prompt
 * tokens. Events are emitted at the end of an iteration, the first one at the
 * end of the iteration that completes the prompt. Work waits until its context
 * fits or the batch is empty, so nothing is preempted.
 */
export class VirtualEngine {
  private waiting: ScheduledWork[] = [];
  private active: ScheduledWork[] = [];
  private isIterating = false;
  private reservedTokens = 0;
  /** Factor on all times; above 1 for an engine that has become slow. */
  pace = 1;

  constructor(
    private readonly spec: EngineSpec,
    private readonly clock: VirtualClock,
  ) {}

  /** Number of sequences in the batch and of those that wait for it. */
  get load(): {running: number; waiting: number} {
    const running = this.active.filter(
      ({isPrefillShare}) => !isPrefillShare,
    ).length;
    return {running, waiting: this.waiting.length};
  }

  /** KV memory that is neither reserved nor used by active work. */
  get freeTokens(): number {
    return this.active.reduce(
      (free, {work}) => free - work.contextTokens,
      this.spec.memoryTokens - this.reservedTokens,
    );
  }

  /** Reserves KV memory; returns whether there was capacity. */
  reserve(tokens: number): boolean {
    if (tokens > this.freeTokens) return false;
    this.reservedTokens += tokens;
    return true;
  }

  /** Releases reserved KV memory. */
  release(tokens: number): void {
    this.reservedTokens -= tokens;
    this.startIterating();
  }

  /**
   * Queues work. Prefill shares of other engines' prompts start at once: they
   * don't count against the batch size. Returns `undefined` for work with more
   * helpers than the protocol allows.
   */
  submit(work: VirtualWork): WorkHandle | undefined {
    if ((work.helperEntries ?? 0) > MAX_HELPER_ENTRIES) return undefined;
    const scheduled: ScheduledWork = {
      work,
      isPrefillShare: work.outputTokens === 0,
      remainingPromptTokens: work.promptTokens,
      remainingPairs: work.promptPairs,
      remainingOutputTokens: work.outputTokens,
      pendingRemoteShares: work.remotePrefillShares,
      isDecoding: false,
    };
    if (scheduled.isPrefillShare) this.insertPrefillShare(scheduled);
    else this.waiting.push(scheduled);
    this.startIterating();
    return {
      completeRemoteShare: () => {
        scheduled.pendingRemoteShares--;
        this.startIterating();
      },
      cancel: () => {
        this.waiting = this.waiting.filter(item => item !== scheduled);
        this.active = this.active.filter(item => item !== scheduled);
      },
    };
  }

  /**
   * Inserts a prefill share of another engine's prompt before this engine's own
   * prompts, behind the shares that arrived earlier.
   */
  private insertPrefillShare(share: ScheduledWork): void {
    const index = this.active.findIndex(({isPrefillShare}) => !isPrefillShare);
    this.active.splice(index < 0 ? this.active.length : index, 0, share);
  }

  private startIterating(): void {
    if (this.isIterating) return;
    this.isIterating = true;
    this.clock.schedule(0, () => this.runIteration());
  }

  private runIteration(): void {
    this.admitWaiting();
    const decoding = this.active.filter(({isDecoding}) => isDecoding);
    const steps = decoding.length > 0 ? this.spec.stepsPerPass : 1;
    const {ms, prefilled} = this.prefill(steps * this.spec.chunkTokens);
    const isIdle = decoding.length === 0 && ms === 0;
    if (isIdle && !this.active.some(canStartDecoding)) {
      this.isIterating = false;
      return;
    }
    const iterationMs = this.pace * (ms + steps * this.stepMs(decoding));
    this.clock.schedule(iterationMs, () => {
      for (const item of prefilled) item.work.onPrefilled?.();
      for (const item of this.active.filter(canStartDecoding))
        this.startDecoding(item);
      for (const item of decoding) this.emitEvent(item);
      this.active = this.active.filter(
        ({remainingPromptTokens, remainingOutputTokens}) =>
          remainingPromptTokens > 0 || remainingOutputTokens > 0,
      );
      this.runIteration();
    });
  }

  private admitWaiting(): void {
    while (this.waiting.length > 0) {
      const {running} = this.load;
      if (running >= this.spec.batchSize) return;
      const neededTokens = this.waiting[0]!.work.contextTokens;
      if (running > 0 && neededTokens > this.freeTokens) return;
      this.active.push(this.waiting.shift()!);
    }
  }

  /** Processes up to `budgetTokens` prompt tokens, in the order of `active`. */
  private prefill(budgetTokens: number): {
    ms: number;
    prefilled: ScheduledWork[];
  } {
    let ms = 0;
    let remainingTokens = budgetTokens;
    const prefilled: ScheduledWork[] = [];
    for (const item of this.active) {
      if (item.remainingPromptTokens === 0 || remainingTokens === 0) continue;
      const tokens = Math.min(remainingTokens, item.remainingPromptTokens);
      const pairs = this.countPairs(item, tokens);
      remainingTokens -= tokens;
      item.remainingPromptTokens -= tokens;
      item.remainingPairs -= pairs;
      ms += prefillMs(this.spec, tokens, pairs);
      if (item.remainingPromptTokens === 0) prefilled.push(item);
    }
    return {ms, prefilled};
  }

  /**
   * Counts the pairs of the next `tokens` prompt tokens. In a whole prompt
   * later tokens have more pairs; in a split prompt each token counts alike.
   */
  private countPairs(item: ScheduledWork, tokens: number): number {
    if (item.remainingPromptTokens === tokens) return item.remainingPairs;
    const {promptTokens, promptPairs} = item.work;
    if (item.isPrefillShare || item.work.remotePrefillShares > 0) {
      return (promptPairs * tokens) / promptTokens;
    }
    const processedTokens = promptTokens - item.remainingPromptTokens;
    return tokens * (processedTokens + tokens / 2);
  }

  private stepMs(decoding: readonly ScheduledWork[]): number {
    const contextTokens = decoding.reduce(
      (sum, {work}) => sum + work.contextTokens,
      0,
    );
    return stepMs(this.spec, decoding.length, contextTokens);
  }

  /** Emits the first event, once all prefill shares have been processed. */
  private startDecoding(item: ScheduledWork): void {
    item.isDecoding = true;
    this.emitEvent(item);
  }

  private emitEvent(item: ScheduledWork): void {
    if (!this.active.includes(item)) return;
    item.remainingOutputTokens = Math.max(
      0,
      item.remainingOutputTokens - this.spec.stepsPerPass,
    );
    item.work.onEvent?.(item.remainingOutputTokens === 0);
  }
}

function canStartDecoding({
  remainingPromptTokens,
  remainingOutputTokens,
  pendingRemoteShares,
  isDecoding,
}: ScheduledWork): boolean {
  return (
    !isDecoding &&
    remainingPromptTokens === 0 &&
    remainingOutputTokens > 0 &&
    pendingRemoteShares === 0
  );
}
