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
import type {FaultInjector} from './fault_injector.js';
import {BLOCK_TOKENS, PrefixCache} from './prefix_cache.js';
import {createAttemptKey, Sequence} from './sequence.js';
import {SequencePhase} from './sequence_phase.js';

const IDLE_WAIT_MS = 100;
const FINISHED_TTL_MS = 5_000;

/** What the engine holds for one attempt. */
export interface MemoryReservation {
  readonly requestId: string;
  readonly attempt: number;
  readonly tokens: number;
}

/** Options of an `EngineModel`. */
export interface MockEngineOptions {
  readonly cost: EngineCost;
  readonly faults: FaultInjector;
}

/**
 * A stand-in engine: continuous batching with chunked prefill, priorities,
 * memory counted in tokens and a prefix cache in the memory left over.
 */
export class MockEngine {
  readonly cache = new PrefixCache();
  private readonly cost: EngineCost;
  private readonly sequences = new Map<string, Sequence>();
  private readonly wakeup = new Wakeup();
  private plannedDecodes: Sequence[] = [];
  private plannedPrefills: Array<[Sequence, number]> = [];

  constructor(private readonly options: MockEngineOptions) {
    this.cost = options.cost;
  }

  /** Queues a request. Refuses what can never fit or is one too many. */
  submit(request: GenerateRequest): Result<Sequence> {
    const key = createAttemptKey(request.requestId, request.attempt);
    const existing = this.sequences.get(key);
    if (existing) return succeed(existing);
    const sequence = new Sequence(request);
    if (sequence.neededTokens > this.cost.memoryTokens) {
      const message = `needs ${sequence.neededTokens} tokens of memory; the engine has ${this.cost.memoryTokens}`;
      return fail(new VmuxError(ErrorCodes.PromptTooLong, {message}));
    }
    const waiting = this.listByPhase(SequencePhase.Waiting).length;
    if (waiting >= this.cost.maxWaiting) {
      return fail(new VmuxError(ErrorCodes.QueueFull));
    }
    this.sequences.set(key, sequence);
    this.wakeup.notify();
    return succeed(sequence);
  }

  /** Finds an attempt, finished ones included for a while. */
  find(requestId: string, attempt: number): Sequence | undefined {
    return this.sequences.get(createAttemptKey(requestId, attempt));
  }

  /** Ends an attempt and frees its memory. Unknown attempts are released. */
  cancel(requestId: string, attempt: number): void {
    const sequence = this.find(requestId, attempt);
    if (!sequence) return;
    sequence.finish(FrameKind.Error, 'cancelled');
    this.releaseMemory(sequence);
  }

  /** What is held for each unfinished attempt. */
  listReservations(): MemoryReservation[] {
    return [...this.sequences.values()]
      .filter(({isFinished}) => !isFinished)
      .map(({request: {requestId, attempt}, reservedTokens: tokens}) => ({
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
      queuedPrefillTokens += sequence.remainingPrefillTokens;
      if (sequence.phase === SequencePhase.Decode) runningStreams++;
    }
    const freeTokens = this.cost.memoryTokens - this.totalReservedTokens();
    return {queuedPrefillTokens, runningStreams, freeTokens};
  }

  /** Runs steps until `signal` aborts. */
  async run(signal: AbortSignal): Promise<void> {
    let stepEndMs = monotonicMs();
    while (!signal.aborted) {
      await this.options.faults.waitUntilInactive(FaultKind.Stall, signal);
      this.removeExpired();
      this.admitWaiting();
      const durationMs = this.planStep();
      if (durationMs === 0) {
        await this.wakeup.wait(IDLE_WAIT_MS, signal);
        stepEndMs = monotonicMs();
        continue;
      }
      // Late timers are made up for by the next step, so that the declared
      // rate holds on average.
      stepEndMs = Math.max(
        stepEndMs + durationMs,
        monotonicMs() - IDLE_WAIT_MS,
      );
      await sleep(Math.max(0, stepEndMs - monotonicMs()), signal);
      this.completeStep();
    }
  }

  /** Plans one step and returns how long it takes; 0 when idle. */
  private planStep(): number {
    const {cost} = this;
    this.plannedDecodes = this.listByPhase(SequencePhase.Decode);
    this.plannedPrefills = [];
    let budget = cost.chunkTokens;
    for (const sequence of this.listByPhase(SequencePhase.Prefill)) {
      if (budget <= 0) break;
      const tokens = Math.min(budget, sequence.remainingPrefillTokens);
      this.plannedPrefills.push([sequence, tokens]);
      budget -= tokens;
    }
    const prefillTokens = cost.chunkTokens - budget;
    const streams = this.plannedDecodes.length;
    if (this.plannedPrefills.length === 0 && streams === 0) return 0;
    const prefillMs = (prefillTokens / cost.prefillTokensPerSecond) * 1_000;
    const decodeMs =
      streams > 0
        ? cost.decodeStepMs + streams * cost.decodeStepPerStreamMs
        : 0;
    return prefillMs + decodeMs;
  }

  /** Publishes the results of the planned step. */
  private completeStep(): void {
    for (const sequence of this.plannedDecodes) this.decodeToken(sequence);
    for (const [sequence, tokens] of this.plannedPrefills) {
      sequence.remainingPrefillTokens -= tokens;
      if (sequence.remainingPrefillTokens > 0 || sequence.isFinished) continue;
      if (sequence.request.segment?.holdOnly) {
        sequence.markHeld();
        continue;
      }
      sequence.phase = SequencePhase.Decode;
      const {blocks} = sequence.request;
      this.cache.store(
        blocks,
        this.cost.memoryTokens - this.totalReservedTokens(),
      );
      this.decodeToken(sequence);
    }
  }

  private decodeToken(sequence: Sequence): void {
    if (sequence.isFinished) return;
    sequence.produceToken();
    if (sequence.isFinished) this.releaseMemory(sequence);
  }

  /** Admits waiting sequences that fit, the highest priority first. */
  private admitWaiting(): void {
    for (const sequence of this.listByPhase(SequencePhase.Waiting)) {
      const {request} = sequence;
      const cachedTokens = Math.min(
        this.cache.match(request.blocks) * BLOCK_TOKENS,
        Math.max(0, request.promptTokens - 1),
      );
      sequence.cachedTokens = cachedTokens;
      const freeTokens = this.cost.memoryTokens - this.totalReservedTokens();
      if (sequence.neededTokens > freeTokens) return;
      sequence.reservedTokens = sequence.neededTokens;
      sequence.remainingPrefillTokens =
        request.promptTokens - cachedTokens + this.importCostTokens(request);
      sequence.phase = SequencePhase.Prefill;
      this.cache.evictTo(this.cost.memoryTokens - this.totalReservedTokens());
    }
  }

  /** Prefill tokens that take as long as the import of earlier segments. */
  private importCostTokens({segment}: GenerateRequest): number {
    if (!segment) return 0;
    const {prefillTokensPerSecond, kvTransferTokensPerSecond} = this.cost;
    const ratio = prefillTokensPerSecond / kvTransferTokensPerSecond;
    return Math.round(segment.importTokens * ratio);
  }

  /** Ends attempts that nobody reads and forgets old finished ones. */
  private removeExpired(): void {
    for (const [key, sequence] of this.sequences) {
      if (sequence.isFinished) {
        const idleMs = monotonicMs() - sequence.lastReaderClosedMs;
        const isExpired =
          sequence.readerCount === 0 && idleMs > FINISHED_TTL_MS;
        if (isExpired) this.sequences.delete(key);
      } else if (sequence.isLeaseExpired()) {
        sequence.finish(FrameKind.Error, 'lease expired');
        this.releaseMemory(sequence);
      }
    }
  }

  private releaseMemory(sequence: Sequence): void {
    sequence.reservedTokens = 0;
    sequence.remainingPrefillTokens = 0;
    this.wakeup.notify();
  }

  private totalReservedTokens(): number {
    let total = 0;
    for (const sequence of this.sequences.values())
      total += sequence.reservedTokens;
    return total;
  }

  /** Sequences of a phase by priority, then by arrival. */
  private listByPhase(phase: SequencePhase): Sequence[] {
    return [...this.sequences.values()]
      .filter(sequence => sequence.phase === phase)
      .sort((a, b) => a.request.priority - b.request.priority);
  }
}
