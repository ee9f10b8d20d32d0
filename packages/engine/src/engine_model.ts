import {
  FrameKind,
  type GenerateRequest,
  type LoadReport,
} from '@vanillamux/protocol';
import {
  ErrorCodes,
  fail,
  monotonicMs,
  sleep,
  succeed,
  VmuxError,
  Wakeup,
  type Result,
} from '@vanillamux/shared';
import type {EngineCost} from './engine_settings.js';
import {FaultKind} from './fault_kind.js';
import type {FaultSwitch} from './fault_switch.js';
import {BLOCK_TOKENS, PrefixCache} from './prefix_cache.js';
import {encodeAttempt, Sequence} from './sequence.js';
import {SequencePhase} from './sequence_phase.js';

const IDLE_WAIT_MS = 100;
const FINISHED_TTL_MS = 5_000;

/** What the engine holds for one attempt. */
export interface Holding {
  readonly requestId: string;
  readonly attempt: number;
  readonly tokens: number;
}

/** Options of an `EngineModel`. */
export interface EngineModelOptions {
  readonly cost: EngineCost;
  readonly faults: FaultSwitch;
}

/**
 * A stand-in engine: continuous batching with chunked prefill, priorities,
 * memory counted in tokens and a prefix cache in the memory left over.
 */
export class EngineModel {
  readonly cache = new PrefixCache();
  private readonly cost: EngineCost;
  private readonly sequences = new Map<string, Sequence>();
  private readonly wakeup = new Wakeup();
  private pendingDecode: Sequence[] = [];
  private pendingPrefill: Array<[Sequence, number]> = [];

  constructor(private readonly options: EngineModelOptions) {
    this.cost = options.cost;
  }

  /** Queues a request. Refuses what can never fit or is one too many. */
  submit(request: GenerateRequest): Result<Sequence> {
    const key = encodeAttempt(request.requestId, request.attempt);
    const present = this.sequences.get(key);
    if (present) return succeed(present);
    const sequence = new Sequence(request);
    if (sequence.neededTokens > this.cost.memoryTokens) {
      const message = `needs ${sequence.neededTokens} tokens of memory; the engine has ${this.cost.memoryTokens}`;
      return fail(new VmuxError(ErrorCodes.PromptTooLong, {message}));
    }
    const waiting = this.inPhase(SequencePhase.Waiting).length;
    if (waiting >= this.cost.maxWaiting) {
      return fail(new VmuxError(ErrorCodes.QueueFull));
    }
    this.sequences.set(key, sequence);
    this.wakeup.notify();
    return succeed(sequence);
  }

  /** Finds an attempt, finished ones included for a while. */
  find(requestId: string, attempt: number): Sequence | undefined {
    return this.sequences.get(encodeAttempt(requestId, attempt));
  }

  /** Ends an attempt and frees its memory. Unknown attempts are released. */
  cancel(requestId: string, attempt: number): void {
    const sequence = this.find(requestId, attempt);
    if (!sequence) return;
    sequence.finish(FrameKind.Error, 'cancelled');
    this.release(sequence);
  }

  /** What is held for each unfinished attempt. */
  holdings(): Holding[] {
    return [...this.sequences.values()]
      .filter(({isFinished}) => !isFinished)
      .map(({request: {requestId, attempt}, heldTokens: tokens}) => ({
        requestId,
        attempt,
        tokens,
      }));
  }

  /** The load as it is now. */
  load(): LoadReport {
    let queuedPrefillTokens = 0;
    let runningStreams = 0;
    for (const sequence of this.sequences.values()) {
      if (sequence.isFinished) continue;
      queuedPrefillTokens += sequence.remainingPrefill;
      if (sequence.phase === SequencePhase.Decode) runningStreams++;
    }
    const freeTokens = this.cost.memoryTokens - this.heldTokens();
    return {queuedPrefillTokens, runningStreams, freeTokens};
  }

  /** Runs steps until `signal` aborts. */
  async run(signal: AbortSignal): Promise<void> {
    let clockMs = monotonicMs();
    while (!signal.aborted) {
      await this.options.faults.waitOut(FaultKind.Stall, signal);
      this.sweep();
      this.startWaiting();
      const durationMs = this.step();
      if (durationMs === 0) {
        await this.wakeup.wait(IDLE_WAIT_MS, signal);
        clockMs = monotonicMs();
        continue;
      }
      // Late timers are made up for by the next step, so that the declared
      // rate holds on average.
      clockMs = Math.max(clockMs + durationMs, monotonicMs() - IDLE_WAIT_MS);
      await sleep(Math.max(0, clockMs - monotonicMs()), signal);
      this.finishStep();
    }
  }

  /** Plans one step and returns how long it takes; 0 when idle. */
  private step(): number {
    const {cost} = this;
    this.pendingDecode = this.inPhase(SequencePhase.Decode);
    this.pendingPrefill = [];
    let budget = cost.chunkTokens;
    for (const sequence of this.inPhase(SequencePhase.Prefill)) {
      if (budget <= 0) break;
      const tokens = Math.min(budget, sequence.remainingPrefill);
      this.pendingPrefill.push([sequence, tokens]);
      budget -= tokens;
    }
    const prefillTokens = cost.chunkTokens - budget;
    const streams = this.pendingDecode.length;
    if (this.pendingPrefill.length === 0 && streams === 0) return 0;
    const prefillMs = (prefillTokens / cost.prefillTokensPerSecond) * 1_000;
    const decodeMs =
      streams > 0
        ? cost.decodeStepMs + streams * cost.decodeStepPerStreamMs
        : 0;
    return prefillMs + decodeMs;
  }

  /** Publishes the results of the planned step. */
  private finishStep(): void {
    for (const sequence of this.pendingDecode) this.decode(sequence);
    for (const [sequence, tokens] of this.pendingPrefill) {
      sequence.remainingPrefill -= tokens;
      if (sequence.remainingPrefill > 0 || sequence.isFinished) continue;
      if (sequence.request.segment?.holdOnly) {
        sequence.hold();
        continue;
      }
      sequence.phase = SequencePhase.Decode;
      const {blocks} = sequence.request;
      this.cache.store(blocks, this.cost.memoryTokens - this.heldTokens());
      this.decode(sequence);
    }
  }

  private decode(sequence: Sequence): void {
    if (sequence.isFinished) return;
    sequence.produceToken();
    if (sequence.isFinished) this.release(sequence);
  }

  /** Admits waiting sequences that fit, the highest priority first. */
  private startWaiting(): void {
    for (const sequence of this.inPhase(SequencePhase.Waiting)) {
      const {request} = sequence;
      const cachedTokens = Math.min(
        this.cache.match(request.blocks) * BLOCK_TOKENS,
        Math.max(0, request.promptTokens - 1),
      );
      sequence.cachedTokens = cachedTokens;
      const free = this.cost.memoryTokens - this.heldTokens();
      if (sequence.neededTokens > free) return;
      sequence.heldTokens = sequence.neededTokens;
      sequence.remainingPrefill =
        request.promptTokens - cachedTokens + this.importWork(request);
      sequence.phase = SequencePhase.Prefill;
      this.cache.shrink(this.cost.memoryTokens - this.heldTokens());
    }
  }

  /** Prefill tokens that take as long as the import of earlier segments. */
  private importWork({segment}: GenerateRequest): number {
    if (!segment) return 0;
    const {prefillTokensPerSecond, kvTransferTokensPerSecond} = this.cost;
    const ratio = prefillTokensPerSecond / kvTransferTokensPerSecond;
    return Math.round(segment.importTokens * ratio);
  }

  /** Ends attempts that nobody reads and forgets old finished ones. */
  private sweep(): void {
    for (const [key, sequence] of this.sequences) {
      if (sequence.isFinished) {
        const idleMs = monotonicMs() - sequence.readerLostMs;
        const forgotten = sequence.readers === 0 && idleMs > FINISHED_TTL_MS;
        if (forgotten) this.sequences.delete(key);
      } else if (sequence.isAbandoned()) {
        sequence.finish(FrameKind.Error, 'lease expired');
        this.release(sequence);
      }
    }
  }

  private release(sequence: Sequence): void {
    sequence.heldTokens = 0;
    sequence.remainingPrefill = 0;
    this.wakeup.notify();
  }

  private heldTokens(): number {
    let held = 0;
    for (const sequence of this.sequences.values()) held += sequence.heldTokens;
    return held;
  }

  /** Sequences of a phase by priority, then by arrival. */
  private inPhase(phase: SequencePhase): Sequence[] {
    return [...this.sequences.values()]
      .filter(sequence => sequence.phase === phase)
      .sort((a, b) => a.request.priority - b.request.priority);
  }
}
