import type {Frame} from '@vanillamux/protocol';
import type {
  InFlightTracker,
  PrefixIndex,
  RoutingDecision,
} from '@vanillamux/routing';
import {
  ErrorCodes,
  EventKind,
  RunState,
  succeed,
  type Result,
  type Timeline,
} from '@vanillamux/shared';
import type {BackendHealth} from './backend_health.js';
import {EngineAttempt} from './engine_attempt.js';
import type {EngineCanceller} from './engine_canceller.js';
import type {EngineClient} from './engine_client.js';
import type {FrameAssembler} from './frame_assembler.js';
import type {GenerationJob} from './generation.js';
import type {RequestContext} from './request_context.js';
import type {
  MemoryReservation,
  ReservationClient,
} from './reservation_client.js';

const LEASE_MS = 2_000;
/** Longest prompt, in engine steps, that runs without a memory reservation. */
const MAX_UNRESERVED_STEPS = 8;

/** What every attempt of a host uses. */
export interface GenerationAttemptServices {
  readonly ledger: InFlightTracker;
  readonly prefixIndex: PrefixIndex;
  readonly health: BackendHealth;
  readonly engineClient: EngineClient;
  readonly canceller: EngineCanceller;
  readonly reservationClient: ReservationClient;
  readonly timeline: Timeline;
}

/** Options of a `GenerationAttempt`. */
export interface GenerationAttemptOptions {
  readonly services: GenerationAttemptServices;
  readonly ctx: RequestContext;
  readonly job: GenerationJob;
  readonly decision: RoutingDecision;
  /** Number of the attempt, from 1. */
  readonly attempt: number;
  readonly assembler: FrameAssembler;
  /** Called with each token frame, in order. */
  readonly onToken: (frame: Frame) => Promise<void>;
  /** Called once the engine has accepted the request. */
  readonly onAccepted: () => void;
  /** Whether another attempt will follow if this one is given up. */
  readonly canGiveUp: () => boolean;
}

/** One attempt of a request, with the load and the memory that it holds. */
export class GenerationAttempt {
  private engineAttempt?: EngineAttempt;
  private ledgerEntry?: ReturnType<InFlightTracker['add']>;
  private reservation?: MemoryReservation;

  constructor(private readonly options: GenerationAttemptOptions) {}

  get backendId(): string {
    return this.options.decision.backend.id;
  }

  /** Whether the attempt was given up, so that `run` can continue it. */
  get isResumable(): boolean {
    return this.engineAttempt?.isResumable ?? false;
  }

  /** Runs the attempt, or continues it after it was given up. */
  async run(): Promise<Result<void>> {
    const {ctx, job, services} = this.options;
    if (!this.engineAttempt) {
      services.timeline.add(EventKind.Routed, this.backendId, ctx.requestId);
      const reservation = await this.reserveLongPrompt();
      if (!reservation.ok) return reservation;
      this.reservation = reservation.value;
      this.engineAttempt = this.createEngineAttempt();
    }
    const result = await this.engineAttempt.run();
    if (result.ok) {
      this.release();
      services.health.recordSuccess(this.backendId);
      services.prefixIndex.addBlocks(this.backendId, job.blockHashes);
      return result;
    }
    // A refusal, such as a full queue, doesn't mean the engine is unhealthy.
    if (result.error.ran === RunState.NotRun) return result;
    if (!ctx.signal.aborted) services.health.recordFailure(this.backendId);
    return result;
  }

  /** Releases what the attempt holds and cancels it on the engine. */
  cancel(): void {
    this.release();
    const {services, ctx, decision, attempt} = this.options;
    const {address} = decision.backend;
    services.canceller.cancel({address, requestId: ctx.requestId, attempt});
  }

  /** Releases what the attempt holds on this host. */
  release(): void {
    this.ledgerEntry?.end();
    this.reservation?.release();
    this.ledgerEntry = undefined;
    this.reservation = undefined;
  }

  private createEngineAttempt(): EngineAttempt {
    const {services, ctx, job, decision, attempt, assembler} = this.options;
    const {backend, cachedTokens} = decision;
    const {requestId, workClass} = ctx;
    this.ledgerEntry = services.ledger.add({
      backendId: backend.id,
      priority: workClass.priority,
      prefillTokens: Math.max(0, job.promptTokens - cachedTokens),
      heldTokens: job.promptTokens + job.maxTokens,
    });
    return new EngineAttempt({
      client: services.engineClient,
      backend,
      request: {
        requestId,
        attempt,
        model: job.model,
        prompt: job.prompt,
        promptTokens: job.promptTokens,
        blocks: [...job.blockHashes],
        maxTokens: job.maxTokens,
        deliveredTokens: assembler.nextIndex,
        priority: workClass.priority,
        leaseMs: LEASE_MS,
      },
      assembler,
      onToken: async frame => {
        this.ledgerEntry?.endPrefill();
        await this.options.onToken(frame);
      },
      onAccepted: this.options.onAccepted,
      canGiveUp: this.options.canGiveUp,
      signal: ctx.signal,
    });
  }

  /**
   * Reserves KV memory for a long prompt, so that concurrent decisions of
   * several entry hosts don't oversubscribe one engine. When the owner can't be
   * reached, the attempt runs without a reservation and relies on the engine's
   * own queue.
   */
  private async reserveLongPrompt(): Promise<
    Result<MemoryReservation | undefined>
  > {
    const {services, ctx, job, decision, attempt} = this.options;
    const {backend} = decision;
    const isLong =
      job.promptTokens > MAX_UNRESERVED_STEPS * backend.chunkTokens;
    if (!isLong) return succeed(undefined);
    const reservation = await services.reservationClient.reserve({
      backendId: backend.id,
      failureDomain: backend.failureDomain,
      holder: `${ctx.requestId}#${attempt}`,
      tokens: job.promptTokens + job.maxTokens,
    });
    if (reservation.ok) return reservation;
    if (reservation.error.code === ErrorCodes.QueueFull) return reservation;
    return succeed(undefined);
  }
}
