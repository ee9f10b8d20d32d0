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
  monotonicMs,
  RunState,
  succeed,
  VmuxError,
  type Result,
  type Timeline,
} from '@vanillamux/shared';
import {createCallerSignal} from './create_caller_signal.js';
import type {EntryMetrics} from './entry_metrics.js';
import type {RequestContext} from './request_context.js';

/** What is known of a request when it asks for admission. */
export interface RequestOpening {
  readonly res: ServerResponse;
  readonly workspace: WorkspaceDeclaration;
  readonly workClass: ClassDeclaration;
  readonly version: number;
  readonly rule: string;
}

/** What the record says of a request beyond its context. */
export interface RequestFacts {
  readonly target: string;
  readonly promptTokens?: number;
  readonly candidates?: readonly RecordedCandidate[];
  readonly backend?: string;
  readonly idempotencyKey?: string;
}

/** How a request ended. */
export interface RequestEnding {
  readonly error?: VmuxError;
  readonly backend?: string;
  readonly attempts?: number;
  readonly firstTokenMs?: number;
  readonly answerTokens?: number;
}

/** What a `RequestDesk` works with. */
export interface RequestDeskOptions {
  readonly entryId: string;
  readonly recorder: Recorder;
  readonly timeline: Timeline;
  readonly metrics: EntryMetrics;
}

/** Opens, admits, records and closes the requests of this host. */
export class RequestDesk {
  readonly admission = new AdmissionController();
  private readonly running = new Map<string, RequestContext>();
  private isDraining = false;

  constructor(private readonly options: RequestDeskOptions) {}

  /** Requests in flight. */
  inFlight(): RequestContext[] {
    return [...this.running.values()];
  }

  /** Refuses new requests from now on. */
  drain(): void {
    this.isDraining = true;
  }

  /** Starts the account of a request. */
  open(opening: RequestOpening): RequestContext {
    const {workspace, workClass, version, rule, res} = opening;
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

  /** Admits a request or records its refusal. */
  async admit(
    ctx: RequestContext,
    costTokens: number,
    facts: RequestFacts,
  ): Promise<Result<Permit>> {
    const blocked = this.findBlock();
    const admitted = blocked
      ? fail(blocked)
      : await this.admission.admit({...ctx, costTokens});
    if (!admitted.ok) {
      this.refuse(ctx, admitted.error, facts);
      return admitted;
    }
    this.running.set(ctx.requestId, ctx);
    this.options.metrics.admitted.inc({class: ctx.workClass.name});
    this.options.timeline.add(
      EventKind.Admitted,
      `${ctx.workspace.name} ${ctx.workClass.name}`,
      ctx.requestId,
    );
    this.options.recorder.add({
      kind: RecordKind.Admitted,
      ...this.describe(ctx, facts),
    });
    return succeed(admitted.value);
  }

  /** Records that a request was refused before it ran. */
  refuse(ctx: RequestContext, error: VmuxError, facts: RequestFacts): void {
    this.options.metrics.refused.inc({code: error.code});
    this.options.timeline.add(EventKind.Refused, error.code, ctx.requestId);
    this.options.recorder.add({
      kind: RecordKind.Refused,
      ...this.describe(ctx, facts),
      code: error.code,
      ran: RunState.NotRun,
    });
  }

  /** Records how an admitted request ended. */
  close(ctx: RequestContext, facts: RequestFacts, ending: RequestEnding): void {
    const {error, firstTokenMs} = ending;
    const durationMs = monotonicMs() - ctx.startedMs;
    const ran = error?.ran ?? RunState.Done;
    this.running.delete(ctx.requestId);
    this.options.metrics.observeEnd(ran, facts.promptTokens, firstTokenMs);
    this.options.timeline.add(
      EventKind.Completed,
      error?.code ?? 'done',
      ctx.requestId,
    );
    this.options.recorder.add({
      kind: RecordKind.Completed,
      ...this.describe(ctx, facts),
      code: error?.code,
      ran,
      backend: ending.backend,
      attempts: ending.attempts,
      firstTokenMs: firstTokenMs && Math.round(firstTokenMs),
      durationMs: Math.round(durationMs),
      answerTokens: ending.answerTokens,
    });
  }

  private findBlock(): VmuxError | undefined {
    if (this.isDraining) return new VmuxError(ErrorCodes.ShuttingDown);
    if (this.options.recorder.hasCapacity) return undefined;
    return new VmuxError(ErrorCodes.Overloaded, {
      message: 'the record cannot be delivered and its buffer is full',
    });
  }

  private describe(
    ctx: RequestContext,
    facts: RequestFacts,
  ): Omit<RequestFacts, 'candidates'> & {
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
      ...facts,
      candidates: facts.candidates ? [...facts.candidates] : undefined,
    };
  }
}
