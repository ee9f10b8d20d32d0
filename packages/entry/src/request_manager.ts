import type {Recorder} from '@vanillamux/control';
import {randomUUID} from 'node:crypto';
import type {ServerResponse} from 'node:http';
import {AdmissionController, type Permit} from '@vanillamux/limits';
import {
  RecordKind,
  type RecordedCandidate,
  type ClassDeclaration,
  type WorkspaceDeclaration,
} from '@vanillamux/protocol';
import {
  ErrorCodes,
  EventKind,
  fail,
  getLogger,
  monotonicMs,
  RunState,
  sleep,
  succeed,
  VmuxError,
  type Result,
  type Timeline,
} from '@vanillamux/shared';
import {createCallerSignal} from './create_caller_signal.js';
import type {EntryMetrics} from './entry_metrics.js';
import type {RequestContext} from './request_context.js';

const DRAIN_POLL_INTERVAL_MS = 20;

const log = getLogger('http');

/** What is known of a request before its admission. */
export interface NewRequest {
  readonly res: ServerResponse;
  readonly workspace: WorkspaceDeclaration;
  readonly workClass: ClassDeclaration;
  readonly version: number;
  readonly rule: string;
}

/** What the record holds of a request besides its context. */
export interface RequestRecordDetails {
  readonly target: string;
  readonly promptTokens?: number;
  readonly candidates?: readonly RecordedCandidate[];
  readonly backend?: string;
  readonly idempotencyKey?: string;
}

/** Outcome of an admitted request. */
export interface RequestOutcome {
  readonly error?: VmuxError;
  readonly backend?: string;
  readonly attempts?: number;
  readonly firstTokenMs?: number;
  readonly answerTokens?: number;
}

/** Options of a `RequestManager`. */
export interface RequestManagerOptions {
  readonly entryId: string;
  readonly recorder: Recorder;
  readonly timeline: Timeline;
  readonly metrics: EntryMetrics;
}

/** Admits requests, tracks those in flight and records their outcomes. */
export class RequestManager {
  readonly admission = new AdmissionController();
  private readonly inFlightById = new Map<string, RequestContext>();
  private readonly queued = new Set<RequestContext>();
  private isDraining = false;

  constructor(private readonly options: RequestManagerOptions) {}

  /** Lists the admitted requests that have not finished. */
  listInFlight(): RequestContext[] {
    return [...this.inFlightById.values()];
  }

  /**
   * Makes `admit` refuse every later request, and waits until those that were
   * admitted or queued have finished or reached their deadlines.
   */
  async drain(): Promise<void> {
    this.isDraining = true;
    while (this.lastDeadlineMs > monotonicMs())
      await sleep(DRAIN_POLL_INTERVAL_MS);
  }

  /** Creates a request's context: its id, deadline and abort signal. */
  createContext(newRequest: NewRequest): RequestContext {
    const {workspace, workClass, version, rule, res} = newRequest;
    const startedMs = monotonicMs();
    const {deadlineMs} = workClass;
    return {
      requestId: `${this.options.entryId}-${randomUUID()}`,
      workspace,
      workClass,
      version,
      rule,
      startedMs,
      deadlineMs: startedMs + deadlineMs,
      signal: createCallerSignal(res, deadlineMs),
    };
  }

  /** Admits a request, or refuses it; records either. */
  async admit(
    ctx: RequestContext,
    costTokens: number,
    recordDetails: RequestRecordDetails,
  ): Promise<Result<Permit>> {
    const refusal = this.findRefusal();
    const permit = refusal ? fail(refusal) : await this.wait(ctx, costTokens);
    if (!permit.ok) {
      this.refuse(ctx, permit.error, recordDetails);
      return permit;
    }
    this.inFlightById.set(ctx.requestId, ctx);
    this.options.metrics.admitted.inc({class: ctx.workClass.name});
    this.options.timeline.add(
      EventKind.Admitted,
      `${ctx.workspace.name} ${ctx.workClass.name}`,
      ctx.requestId,
    );
    this.options.recorder.add({
      kind: RecordKind.Admitted,
      ...this.createRecordFields(ctx, recordDetails),
    });
    return succeed(permit.value);
  }

  /**
   * Runs an admitted request and releases its permit. An exception becomes an
   * error, so that the request is answered and recorded like any other.
   */
  async run<T>(
    {requestId}: RequestContext,
    permit: Permit,
    serve: () => Promise<Result<T>>,
  ): Promise<Result<T>> {
    try {
      return await serve();
    } catch (error) {
      log.error('Unhandled error while serving a request.', {requestId, error});
      const options = {ran: RunState.Unknown, cause: error};
      return fail(new VmuxError(ErrorCodes.Internal, options));
    } finally {
      permit.release();
    }
  }

  /** Records that a request was refused before it ran. */
  refuse(
    ctx: RequestContext,
    error: VmuxError,
    recordDetails: RequestRecordDetails,
  ): void {
    this.options.metrics.refused.inc({code: error.code});
    this.options.timeline.add(EventKind.Refused, error.code, ctx.requestId);
    this.options.recorder.add({
      kind: RecordKind.Refused,
      ...this.createRecordFields(ctx, recordDetails),
      code: error.code,
      ran: RunState.NotRun,
    });
  }

  /** Records the outcome of an admitted request. */
  finish(
    ctx: RequestContext,
    recordDetails: RequestRecordDetails,
    outcome: RequestOutcome,
  ): void {
    const {error, firstTokenMs} = outcome;
    const durationMs = monotonicMs() - ctx.startedMs;
    const ran = error?.ran ?? RunState.Done;
    this.inFlightById.delete(ctx.requestId);
    this.options.metrics.recordOutcome(
      ran,
      recordDetails.promptTokens,
      firstTokenMs,
    );
    this.options.timeline.add(
      EventKind.Completed,
      error?.code ?? 'done',
      ctx.requestId,
    );
    this.options.recorder.add({
      kind: RecordKind.Completed,
      ...this.createRecordFields(ctx, recordDetails),
      code: error?.code,
      ran,
      backend: outcome.backend,
      attempts: outcome.attempts,
      firstTokenMs: firstTokenMs && Math.round(firstTokenMs),
      durationMs: Math.round(durationMs),
      answerTokens: outcome.answerTokens,
    });
  }

  private async wait(
    ctx: RequestContext,
    costTokens: number,
  ): Promise<Result<Permit>> {
    this.queued.add(ctx);
    const permit = await this.admission.admit({...ctx, costTokens});
    this.queued.delete(ctx);
    return permit;
  }

  /** Latest deadline of those admitted or queued, on the monotonic clock. */
  private get lastDeadlineMs(): number {
    const open = [...this.inFlightById.values(), ...this.queued];
    return Math.max(-Infinity, ...open.map(({deadlineMs}) => deadlineMs));
  }

  private findRefusal(): VmuxError | undefined {
    if (this.isDraining) return new VmuxError(ErrorCodes.ShuttingDown);
    if (this.options.recorder.hasCapacity) return undefined;
    return new VmuxError(ErrorCodes.Overloaded, {
      message: 'the record cannot be delivered and its buffer is full',
    });
  }

  private createRecordFields(
    ctx: RequestContext,
    recordDetails: RequestRecordDetails,
  ): Omit<RequestRecordDetails, 'candidates'> & {
    requestId: string;
    workspace: string;
    class: string;
    version: number;
    rule: string;
    candidates?: RecordedCandidate[];
  } {
    return {
      requestId: ctx.requestId,
      workspace: ctx.workspace.name,
      class: ctx.workClass.name,
      version: ctx.version,
      rule: ctx.rule,
      ...recordDetails,
      candidates: recordDetails.candidates
        ? [...recordDetails.candidates]
        : undefined,
    };
  }
}
