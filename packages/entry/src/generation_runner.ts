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
import {explainAbort} from './explain_abort.js';
import {FrameAssembler} from './frame_assembler.js';
import type {GenerationJob, GenerationReport, TokenSink} from './generation.js';
import type {RequestContext} from './request_context.js';
import type {HeldMemory, ReservationClient} from './reservation_client.js';

const MAX_ATTEMPTS = 3;
const BLOCK_TOKENS = 512;
const MIN_LEASE_MS = 2_000;
const NO_BACKEND_RETRY_AFTER_MS = 1_000;
/** A prompt that takes so many engine steps has its memory reserved. */
const RESERVED_STEPS = 8;
const ROOM_RETRY_MS = 50;

/** What a `GenerationRunner` works with. */
export interface GenerationRunnerOptions {
  readonly directory: BackendDirectory;
  readonly policy: RoutingPolicy;
  readonly ledger: InFlightTracker;
  readonly prefixes: PrefixIndex;
  readonly health: BackendHealth;
  readonly client: EngineClient;
  readonly canceller: EngineCanceller;
  readonly reservations: ReservationClient;
  readonly retries: RetryBudget;
  readonly timeline: Timeline;
}

/** Routes generation requests to engines and retries them elsewhere. */
export class GenerationRunner {
  constructor(private readonly options: GenerationRunnerOptions) {}

  /** Chooses the engine for the first or a further attempt. */
  decide(
    ctx: RequestContext,
    job: GenerationJob,
    excluded: ReadonlySet<string> = new Set(),
  ): Result<RoutingDecision> {
    const {directory, policy, prefixes} = this.options;
    const tokens = job.promptTokens + job.maxTokens;
    const candidates = directory.findCandidates({
      model: job.model,
      memoryTokens: tokens,
      excludedIds: excluded,
    });
    if (candidates.preferred.length === 0)
      return fail(this.explainNone(job, tokens));
    const matched = prefixes.matchPrefix(job.blocks);
    return succeed(
      policy.choose(
        {
          requestId: ctx.requestId,
          promptTokens: job.promptTokens,
          maxTokens: job.maxTokens,
          priority: ctx.workClass.priority,
          cachedTokensOn: id => (matched.get(id) ?? 0) * BLOCK_TOKENS,
        },
        candidates,
      ),
    );
  }

  /** Runs a request to its end. The report is filled in as it goes. */
  async run(
    ctx: RequestContext,
    job: GenerationJob,
    first: RoutingDecision,
    sink: TokenSink,
    report: GenerationReport,
  ): Promise<Result<void>> {
    const assembler = new FrameAssembler(ctx.requestId);
    const excluded = new Set<string>();
    let decision = first;
    let faults = 0;
    this.options.retries.deposit(ctx.workspace.name);
    for (;;) {
      report.attempts++;
      report.backend = decision.backend.id;
      const result = await this.attempt(
        ctx,
        job,
        decision,
        assembler,
        sink,
        report,
      );
      if (result.ok) return result;
      if (ctx.signal.aborted) return fail(explainAbort(ctx));
      excluded.add(decision.backend.id);
      const {message} = result.error;
      const detail = `${decision.backend.id}: ${message}`;
      this.options.timeline.add(EventKind.AttemptFailed, detail, ctx.requestId);
      const isFull = result.error.code === ErrorCodes.QueueFull;
      if (isFull) {
        const waited = await this.waitForRoom(ctx, excluded);
        if (!waited) return fail(explainAbort(ctx));
      } else if (++faults >= MAX_ATTEMPTS || !this.mayRetry(ctx)) {
        return result;
      }
      const next = this.decide(ctx, job, excluded);
      if (!next.ok) return result;
      decision = next.value;
      assembler.startAttempt();
    }
  }

  private mayRetry({workspace}: RequestContext): boolean {
    return this.options.retries.tryWithdraw(workspace.name);
  }

  /** Waits before every engine is asked again. Returns false when too late. */
  private async waitForRoom(
    ctx: RequestContext,
    excluded: Set<string>,
  ): Promise<boolean> {
    await sleep(ROOM_RETRY_MS * (1 + Math.random()), ctx.signal);
    excluded.clear();
    return !ctx.signal.aborted;
  }

  private async attempt(
    ctx: RequestContext,
    job: GenerationJob,
    decision: RoutingDecision,
    assembler: FrameAssembler,
    sink: TokenSink,
    report: GenerationReport,
  ): Promise<Result<void>> {
    const {ledger, client, canceller, health, timeline} = this.options;
    const {backend, cachedTokens} = decision;
    const {requestId, workClass} = ctx;
    const attempt = report.attempts;
    timeline.add(EventKind.Routed, backend.id, requestId);
    const memory = await this.reserveIfLong(ctx, job, decision, attempt);
    if (!memory.ok) return memory;
    const flight = ledger.add({
      backendId: backend.id,
      priority: workClass.priority,
      prefillTokens: Math.max(0, job.promptTokens - cachedTokens),
      heldTokens: job.promptTokens + job.maxTokens,
    });
    const onToken = async (frame: Frame): Promise<void> => {
      flight.endPrefill();
      if (report.firstTokenMs === undefined) {
        report.firstTokenMs = monotonicMs() - ctx.startedMs;
        report.cachedTokens = frame.cachedTokens ?? 0;
        timeline.add(EventKind.FirstToken, backend.id, requestId);
      }
      report.answerTokens++;
      await sink.write(frame.text);
    };
    const result = await new EngineAttempt({
      client,
      backend,
      request: {
        requestId,
        attempt,
        model: job.model,
        prompt: job.prompt,
        promptTokens: job.promptTokens,
        blocks: [...job.blocks],
        maxTokens: job.maxTokens,
        deliveredTokens: assembler.next,
        priority: workClass.priority,
        leaseMs: MIN_LEASE_MS,
      },
      assembler,
      onToken,
      signal: ctx.signal,
    }).run();
    flight.end();
    memory.value?.release();
    if (result.ok) {
      health.succeeded(backend.id);
      this.options.prefixes.addBlocks(backend.id, job.blocks);
      return result;
    }
    // A refusal such as a full queue says nothing against the engine's health.
    const isFault = result.error.ran !== RunState.NotRun;
    if (isFault && !ctx.signal.aborted) health.failed(backend.id);
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
  private async reserveIfLong(
    ctx: RequestContext,
    job: GenerationJob,
    {backend}: RoutingDecision,
    attempt: number,
  ): Promise<Result<HeldMemory | undefined>> {
    const isLong = job.promptTokens > RESERVED_STEPS * backend.chunkTokens;
    if (!isLong) return succeed(undefined);
    const reserved = await this.options.reservations.reserve({
      backendId: backend.id,
      failureDomain: backend.failureDomain,
      holder: `${ctx.requestId}#${attempt}`,
      tokens: job.promptTokens + job.maxTokens,
    });
    if (reserved.ok) return reserved;
    if (reserved.error.code === ErrorCodes.QueueFull) return reserved;
    return succeed(undefined);
  }

  private explainNone(job: GenerationJob, tokens: number): VmuxError {
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
