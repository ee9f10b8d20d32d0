import type {RetryBudget} from '@vanillamux/limits';
import type {Frame} from '@vanillamux/protocol';
import type {
  InFlightTracker,
  RoutingDecision,
  RoutingPolicy,
} from '@vanillamux/routing';
import type {PrefixIndex} from '@vanillamux/routing';
import {
  ErrorCodes,
  EventKind,
  fail,
  monotonicMs,
  RunState,
  sleep,
  succeed,
  VmuxError,
  type Result,
  type Timeline,
} from '@vanillamux/shared';
import type {BackendDirectory} from './backend_directory.js';
import type {BackendHealth} from './backend_health.js';
import {EngineAttempt} from './engine_attempt.js';
import type {EngineCanceller} from './engine_canceller.js';
import type {EngineClient} from './engine_client.js';
import {createAbortError} from './create_abort_error.js';
import {FrameAssembler} from './frame_assembler.js';
import type {GenerationJob, GenerationReport, TokenSink} from './generation.js';
import type {RequestContext} from './request_context.js';
import type {
  MemoryReservation,
  ReservationClient,
} from './reservation_client.js';

const MAX_ATTEMPTS = 3;
const TOKENS_PER_BLOCK = 512;
const LEASE_MS = 2_000;
const NO_BACKEND_RETRY_AFTER_MS = 1_000;
/** A prompt that takes so many engine steps has its memory reserved. */
const MAX_UNRESERVED_STEPS = 8;
const CAPACITY_RETRY_DELAY_MS = 50;

/** What a `GenerationRunner` works with. */
export interface GenerationRunnerOptions {
  readonly directory: BackendDirectory;
  readonly policy: RoutingPolicy;
  readonly ledger: InFlightTracker;
  readonly prefixIndex: PrefixIndex;
  readonly health: BackendHealth;
  readonly engineClient: EngineClient;
  readonly canceller: EngineCanceller;
  readonly reservationClient: ReservationClient;
  readonly retryBudget: RetryBudget;
  readonly timeline: Timeline;
}

/** Routes generation requests to engines and retries them elsewhere. */
export class GenerationRunner {
  constructor(private readonly options: GenerationRunnerOptions) {}

  /** Chooses the engine for the first or a further attempt. */
  chooseBackend(
    ctx: RequestContext,
    job: GenerationJob,
    excluded: ReadonlySet<string> = new Set(),
  ): Result<RoutingDecision> {
    const {directory, policy, prefixIndex: prefixIndex} = this.options;
    const tokens = job.promptTokens + job.maxTokens;
    const candidates = directory.findCandidates({
      model: job.model,
      memoryTokens: tokens,
      excludedIds: excluded,
    });
    if (candidates.preferred.length === 0)
      return fail(this.createNoBackendError(job, tokens));
    const matchedBlocks = prefixIndex.matchPrefix(job.blockHashes);
    return succeed(
      policy.choose(
        {
          requestId: ctx.requestId,
          promptTokens: job.promptTokens,
          maxTokens: job.maxTokens,
          priority: ctx.workClass.priority,
          cachedTokensOn: id => (matchedBlocks.get(id) ?? 0) * TOKENS_PER_BLOCK,
        },
        candidates,
      ),
    );
  }

  /** Runs a request to its end. The report is filled in as it goes. */
  async run(
    ctx: RequestContext,
    job: GenerationJob,
    initialDecision: RoutingDecision,
    sink: TokenSink,
    report: GenerationReport,
  ): Promise<Result<void>> {
    const assembler = new FrameAssembler(ctx.requestId);
    const excluded = new Set<string>();
    let decision = initialDecision;
    let failedAttempts = 0;
    this.options.retryBudget.deposit(ctx.workspace.name);
    for (;;) {
      report.attempts++;
      report.backend = decision.backend.id;
      const result = await this.runAttempt(
        ctx,
        job,
        decision,
        assembler,
        sink,
        report,
      );
      if (result.ok) return result;
      if (ctx.signal.aborted) return fail(createAbortError(ctx));
      excluded.add(decision.backend.id);
      const {message} = result.error;
      const detail = `${decision.backend.id}: ${message}`;
      this.options.timeline.add(EventKind.AttemptFailed, detail, ctx.requestId);
      const isQueueFull = result.error.code === ErrorCodes.QueueFull;
      if (isQueueFull) {
        const canRetry = await this.waitForCapacity(ctx, excluded);
        if (!canRetry) return fail(createAbortError(ctx));
      } else if (
        ++failedAttempts >= MAX_ATTEMPTS ||
        !this.tryAcquireRetry(ctx)
      ) {
        return result;
      }
      const next = this.chooseBackend(ctx, job, excluded);
      if (!next.ok) return result;
      decision = next.value;
      assembler.discardBufferedFrames();
    }
  }

  private tryAcquireRetry({workspace}: RequestContext): boolean {
    return this.options.retryBudget.tryWithdraw(workspace.name);
  }

  /** Waits before every engine is asked again. Returns false when too late. */
  private async waitForCapacity(
    ctx: RequestContext,
    excluded: Set<string>,
  ): Promise<boolean> {
    await sleep(CAPACITY_RETRY_DELAY_MS * (1 + Math.random()), ctx.signal);
    excluded.clear();
    return !ctx.signal.aborted;
  }

  private async runAttempt(
    ctx: RequestContext,
    job: GenerationJob,
    decision: RoutingDecision,
    assembler: FrameAssembler,
    sink: TokenSink,
    report: GenerationReport,
  ): Promise<Result<void>> {
    const {
      ledger,
      engineClient: engineClient,
      canceller,
      health,
      timeline,
    } = this.options;
    const {backend, cachedTokens} = decision;
    const {requestId, workClass} = ctx;
    const attempt = report.attempts;
    timeline.add(EventKind.Routed, backend.id, requestId);
    const reservation = await this.reserveLongPrompt(
      ctx,
      job,
      decision,
      attempt,
    );
    if (!reservation.ok) return reservation;
    const ledgerEntry = ledger.add({
      backendId: backend.id,
      priority: workClass.priority,
      prefillTokens: Math.max(0, job.promptTokens - cachedTokens),
      heldTokens: job.promptTokens + job.maxTokens,
    });
    const onToken = async (frame: Frame): Promise<void> => {
      ledgerEntry.endPrefill();
      if (report.firstTokenMs === undefined) {
        report.firstTokenMs = monotonicMs() - ctx.startedMs;
        report.cachedTokens = frame.cachedTokens ?? 0;
        timeline.add(EventKind.FirstToken, backend.id, requestId);
      }
      report.answerTokens++;
      await sink.write(frame.text);
    };
    const result = await new EngineAttempt({
      client: engineClient,
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
      onToken,
      signal: ctx.signal,
    }).run();
    ledgerEntry.end();
    reservation.value?.release();
    if (result.ok) {
      health.recordSuccess(backend.id);
      this.options.prefixIndex.addBlocks(backend.id, job.blockHashes);
      return result;
    }
    // A refusal such as a full queue says nothing against the engine's health.
    const isBackendFailure = result.error.ran !== RunState.NotRun;
    if (isBackendFailure && !ctx.signal.aborted)
      health.recordFailure(backend.id);
    if (result.error.ran !== RunState.NotRun || ctx.signal.aborted) {
      canceller.cancel({address: backend.address, requestId, attempt});
    }
    return result;
  }

  /**
   * Reserves the memory of a long prompt, so that entry hosts that decide at
   * the same time do not oversubscribe one engine. When the owner cannot be
   * reached, the engine's own queue has to do.
   */
  private async reserveLongPrompt(
    ctx: RequestContext,
    job: GenerationJob,
    {backend}: RoutingDecision,
    attempt: number,
  ): Promise<Result<MemoryReservation | undefined>> {
    const isLong =
      job.promptTokens > MAX_UNRESERVED_STEPS * backend.chunkTokens;
    if (!isLong) return succeed(undefined);
    const reservation = await this.options.reservationClient.reserve({
      backendId: backend.id,
      failureDomain: backend.failureDomain,
      holder: `${ctx.requestId}#${attempt}`,
      tokens: job.promptTokens + job.maxTokens,
    });
    if (reservation.ok) return reservation;
    if (reservation.error.code === ErrorCodes.QueueFull) return reservation;
    return succeed(undefined);
  }

  private createNoBackendError(job: GenerationJob, tokens: number): VmuxError {
    const largest = this.options.directory.findMaxMemoryTokens(job.model);
    if (largest === 0 || largest >= tokens) {
      return new VmuxError(ErrorCodes.NoBackend, {
        message: `no backend server is available for ${job.model}`,
        retryAfterMs: NO_BACKEND_RETRY_AFTER_MS,
      });
    }
    const message = `prompt and answer need ${tokens} tokens; the fleet holds at most ${largest} for one request`;
    return new VmuxError(ErrorCodes.PromptTooLong, {message});
  }
}
