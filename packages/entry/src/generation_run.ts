import type {RetryBudget} from '@vanillamux/limits';
import type {Frame} from '@vanillamux/protocol';
import type {RoutingDecision} from '@vanillamux/routing';
import {
  ErrorCodes,
  EventKind,
  fail,
  monotonicMs,
  RunState,
  sleep,
  type Result,
  type VmuxError,
} from '@vanillamux/shared';
import {createAbortError} from './create_abort_error.js';
import {FrameAssembler} from './frame_assembler.js';
import type {GenerationJob, GenerationReport, TokenSink} from './generation.js';
import {
  GenerationAttempt,
  type GenerationAttemptServices,
} from './generation_attempt.js';
import type {RequestContext} from './request_context.js';

const MAX_ATTEMPTS = 3;
const CAPACITY_RETRY_DELAY_MS = 50;

/** Options of a `GenerationRun`. */
export interface GenerationRunOptions {
  readonly services: GenerationAttemptServices & {
    readonly retryBudget: RetryBudget;
  };
  readonly ctx: RequestContext;
  readonly job: GenerationJob;
  readonly sink: TokenSink;
  /** Updated with each attempt and token. */
  readonly report: GenerationReport;
  /** Chooses the backend server for a retry. */
  readonly chooseBackend: (
    excluded: ReadonlySet<string>,
  ) => Result<RoutingDecision>;
}

/**
 * The attempts of one request. An attempt on a silent engine ends only once
 * another engine has accepted the request; it continues if none does.
 */
export class GenerationRun {
  private readonly assembler: FrameAssembler;
  private readonly excluded = new Set<string>();
  private failedAttempts = 0;
  /** Where the next attempt will run, once its retry has been granted. */
  private retry?: RoutingDecision;
  /** Attempt on a silent engine, until another engine accepts the request. */
  private silentAttempt?: GenerationAttempt;

  constructor(private readonly options: GenerationRunOptions) {
    this.assembler = new FrameAssembler(options.ctx.requestId);
  }

  /** Runs the request until it completes or fails. */
  async run(initialDecision: RoutingDecision): Promise<Result<void>> {
    const {ctx, report, services} = this.options;
    services.retryBudget.deposit(ctx.workspace.name);
    let attempt: GenerationAttempt | undefined =
      this.createAttempt(initialDecision);
    for (;;) {
      report.backend = attempt.backendId;
      const result: Result<void> = await attempt.run();
      if (result.ok) return result;
      if (ctx.signal.aborted) {
        attempt.cancel();
        this.silentAttempt?.cancel();
        return fail(createAbortError(ctx));
      }
      this.endFailedAttempt(attempt, result.error);
      const isQueueFull: boolean = result.error.code === ErrorCodes.QueueFull;
      attempt =
        isQueueFull && !this.silentAttempt
          ? await this.retryAfterQueueFull(attempt)
          : this.chooseNextAttempt(attempt, result.error);
      if (ctx.signal.aborted) return fail(createAbortError(ctx));
      if (!attempt) return result;
    }
  }

  private createAttempt(decision: RoutingDecision): GenerationAttempt {
    const {services, ctx, job, report} = this.options;
    const backendId = decision.backend.id;
    report.attempts++;
    return new GenerationAttempt({
      services,
      ctx,
      job,
      decision,
      attempt: report.attempts,
      assembler: this.assembler,
      onToken: frame => this.deliverToken(backendId, frame),
      onAccepted: () => {
        this.silentAttempt?.cancel();
        this.silentAttempt = undefined;
      },
      canGiveUp: () =>
        this.planRetry(backendId) || this.silentAttempt !== undefined,
    });
  }

  private async deliverToken(backendId: string, frame: Frame): Promise<void> {
    const {ctx, report, services, sink} = this.options;
    if (report.firstTokenMs === undefined) {
      report.firstTokenMs = monotonicMs() - ctx.startedMs;
      report.cachedTokens = frame.cachedTokens ?? 0;
      services.timeline.add(EventKind.FirstToken, backendId, ctx.requestId);
    }
    report.answerTokens++;
    await sink.write(frame.text);
  }

  /** Records a failure, and releases what the attempt holds unless it may go on. */
  private endFailedAttempt(attempt: GenerationAttempt, error: VmuxError): void {
    const {services, ctx} = this.options;
    const detail = `${attempt.backendId}: ${error.message}`;
    services.timeline.add(EventKind.AttemptFailed, detail, ctx.requestId);
    if (error.ran === RunState.NotRun) attempt.release();
    else if (!attempt.isResumable) attempt.cancel();
    this.assembler.discardBufferedFrames();
  }

  /** Waits until all engines are candidates again, and chooses one. */
  private async retryAfterQueueFull(
    attempt: GenerationAttempt,
  ): Promise<GenerationAttempt | undefined> {
    const {ctx, chooseBackend} = this.options;
    this.excluded.add(attempt.backendId);
    await sleep(CAPACITY_RETRY_DELAY_MS * (1 + Math.random()), ctx.signal);
    this.excluded.clear();
    const decision = chooseBackend(this.excluded);
    return decision.ok ? this.createAttempt(decision.value) : undefined;
  }

  /** Returns the retry, else the attempt on a silent engine, if there is one. */
  private chooseNextAttempt(
    attempt: GenerationAttempt,
    error: VmuxError,
  ): GenerationAttempt | undefined {
    // For an attempt on a silent engine, a retry has been planned if possible.
    if (!attempt.isResumable && error.code !== ErrorCodes.QueueFull)
      this.planRetry(attempt.backendId);
    this.failedAttempts++;
    const {retry, silentAttempt} = this;
    this.retry = undefined;
    if (attempt.isResumable) {
      if (silentAttempt) attempt.cancel();
      else this.silentAttempt = attempt;
    }
    if (retry) return this.createAttempt(retry);
    this.silentAttempt = undefined;
    return silentAttempt;
  }

  /** Chooses where to retry, if the limits allow a retry; returns whether. */
  private planRetry(failedBackendId: string): boolean {
    const {ctx, services, chooseBackend} = this.options;
    this.excluded.add(failedBackendId);
    this.retry = undefined;
    if (this.failedAttempts + 1 >= MAX_ATTEMPTS) return false;
    const decision = chooseBackend(this.excluded);
    if (!decision.ok) return false;
    if (!services.retryBudget.tryWithdraw(ctx.workspace.name)) return false;
    this.retry = decision.value;
    return true;
  }
}
