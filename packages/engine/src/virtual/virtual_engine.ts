import {prefillMs, stepMs, type EngineSpec} from '@vanillamux/gateway';
import type {VirtualClock} from './virtual_clock.js';
import type {VirtualWork} from './virtual_work.js';

interface Running {
  readonly work: VirtualWork;
  readonly isPart: boolean;
  leftTokens: number;
  leftPairs: number;
  leftAnswer: number;
  /** Parts of its prompt that other engines have not processed yet. */
  partsAhead: number;
  /** Whether its first event has left. */
  hasBegun: boolean;
}

/** Handle of work that was submitted. */
export interface SubmittedWork {
  /** Another engine has processed its part of the prompt. */
  notePart(): void;
  /** Ends the work; no event follows. */
  cancel(): void;
}

/**
 * An engine in virtual time, with the costs that its service declares: it works
 * in passes; a pass with answers being written runs `stepsPerPass` steps, and
 * each step also processes up to `chunkTokens` prompt tokens. Events leave at
 * the end of a pass, the first one with the pass that ends the prompt. Work
 * waits until its context fits, so nothing is preempted.
 */
export class VirtualEngine {
  private waiting: Running[] = [];
  private active: Running[] = [];
  private isRunning = false;
  private reservedTokens = 0;

  constructor(
    private readonly spec: EngineSpec,
    private readonly clock: VirtualClock,
  ) {}

  /** Sequences that run and that wait for a place in the batch. */
  get load(): {running: number; waiting: number} {
    const running = this.active.filter(({isPart}) => !isPart).length;
    return {running, waiting: this.waiting.length};
  }

  /** Memory that nothing holds. */
  get freeTokens(): number {
    return this.active.reduce(
      (free, {work}) => free - work.contextTokens,
      this.spec.memoryTokens - this.reservedTokens,
    );
  }

  /** Sets memory aside; returns whether there was room. */
  reserve(tokens: number): boolean {
    if (tokens > this.freeTokens) return false;
    this.reservedTokens += tokens;
    return true;
  }

  /** Gives memory back that was set aside. */
  release(tokens: number): void {
    this.reservedTokens -= tokens;
    this.wake();
  }

  /** Queues work. Parts of other engines' prompts need no place. */
  submit(work: VirtualWork): SubmittedWork {
    const running: Running = {
      work,
      isPart: work.answerTokens === 0,
      leftTokens: work.promptTokens,
      leftPairs: work.promptPairs,
      leftAnswer: work.answerTokens,
      partsAhead: work.otherParts,
      hasBegun: false,
    };
    if (running.isPart) this.insertPart(running);
    else this.waiting.push(running);
    this.wake();
    return {
      notePart: () => {
        running.partsAhead--;
        this.wake();
      },
      cancel: () => {
        this.waiting = this.waiting.filter(item => item !== running);
        this.active = this.active.filter(item => item !== running);
      },
    };
  }

  /** Parts of other engines' prompts go before own prompts, in turn. */
  private insertPart(part: Running): void {
    const at = this.active.findIndex(({isPart}) => !isPart);
    this.active.splice(at < 0 ? this.active.length : at, 0, part);
  }

  private wake(): void {
    if (this.isRunning) return;
    this.isRunning = true;
    this.clock.after(0, () => this.pass());
  }

  private pass(): void {
    this.admit();
    const writers = this.active.filter(({hasBegun}) => hasBegun);
    const steps = writers.length > 0 ? this.spec.stepsPerPass : 1;
    const {ms, ended} = this.prefill(steps * this.spec.chunkTokens);
    const isIdle = writers.length === 0 && ms === 0;
    if (isIdle && !this.active.some(mayBegin)) {
      this.isRunning = false;
      return;
    }
    const passMs = ms + steps * this.stepMs(writers);
    this.clock.after(passMs, () => {
      for (const item of ended) item.work.onPrefilled?.();
      for (const item of this.active.filter(mayBegin)) this.begin(item);
      for (const item of writers) this.write(item);
      this.active = this.active.filter(
        ({leftTokens, leftAnswer}) => leftTokens > 0 || leftAnswer > 0,
      );
      this.pass();
    });
  }

  private admit(): void {
    while (this.waiting.length > 0) {
      const {running} = this.load;
      if (running >= this.spec.batchSize) return;
      const needed = this.waiting[0]!.work.contextTokens;
      if (running > 0 && needed > this.freeTokens) return;
      this.active.push(this.waiting.shift()!);
    }
  }

  /** Takes prompt tokens from the work in turn, up to `budget` of them. */
  private prefill(budget: number): {ms: number; ended: Running[]} {
    let ms = 0;
    let left = budget;
    const ended: Running[] = [];
    for (const item of this.active) {
      if (item.leftTokens === 0 || left === 0) continue;
      const tokens = Math.min(left, item.leftTokens);
      const pairs = this.takePairs(item, tokens);
      left -= tokens;
      item.leftTokens -= tokens;
      item.leftPairs -= pairs;
      ms += prefillMs(this.spec, tokens, pairs);
      if (item.leftTokens === 0) ended.push(item);
    }
    return {ms, ended};
  }

  /** Later tokens of a whole prompt have more pairs; those of a part alike. */
  private takePairs(item: Running, tokens: number): number {
    if (item.leftTokens === tokens) return item.leftPairs;
    const {promptTokens, promptPairs} = item.work;
    if (item.isPart || item.work.otherParts > 0) {
      return (promptPairs * tokens) / promptTokens;
    }
    const done = promptTokens - item.leftTokens;
    return tokens * (done + tokens / 2);
  }

  private stepMs(writers: readonly Running[]): number {
    const context = writers.reduce(
      (sum, {work}) => sum + work.contextTokens,
      0,
    );
    return stepMs(this.spec, writers.length, context);
  }

  /** The first token follows the last part of the prompt. */
  private begin(item: Running): void {
    item.hasBegun = true;
    this.write(item);
  }

  private write(item: Running): void {
    if (!this.active.includes(item)) return;
    item.leftAnswer = Math.max(0, item.leftAnswer - this.spec.stepsPerPass);
    item.work.onEvent?.(item.leftAnswer === 0);
  }
}

function mayBegin({
  leftTokens,
  leftAnswer,
  partsAhead,
  hasBegun,
}: Running): boolean {
  return !hasBegun && leftTokens === 0 && leftAnswer > 0 && partsAhead === 0;
}
