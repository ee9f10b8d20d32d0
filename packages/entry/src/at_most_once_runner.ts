import {createHash} from 'node:crypto';
import {
  ReservationState,
  ReserveVerdict,
  SettleOutcome,
  type ControlClient,
  type ReserveResult,
  type StoredResponse,
} from '@vanillamux/control';
import type {ServiceDeclaration} from '@vanillamux/protocol';
import {
  ErrorCodes,
  EventKind,
  fail,
  RunState,
  succeed,
  VmuxError,
  type Result,
  type Timeline,
} from '@vanillamux/shared';
import type {RequestContext} from './request_context.js';
import type {ServiceCall} from './service_client.js';
import type {OutcomeSettler} from './outcome_settler.js';

const LEASE_GRACE_MS = 5_000;
const RESERVE_TIMEOUT_MS = 2_500;
const RETRY_AFTER_MS = 1_000;

/** An answer, and whether it is the stored one of an earlier request. */
export interface AtMostOnceResponse {
  readonly answer: StoredResponse;
  readonly replayed: boolean;
}

/** What an `AtMostOnceRunner` works with. */
export interface AtMostOnceRunnerOptions {
  readonly entryId: string;
  readonly control: ControlClient;
  readonly settler: OutcomeSettler;
  readonly timeline: Timeline;
}

/**
 * Runs at-most-once requests: reserves the key by quorum before a byte leaves,
 * and settles the outcome before the caller hears it.
 */
export class AtMostOnceRunner {
  constructor(private readonly options: AtMostOnceRunnerOptions) {}

  /** Runs `send` unless the key was used before. */
  async run(
    ctx: RequestContext,
    service: ServiceDeclaration,
    key: string,
    call: ServiceCall,
    sendCall: () => Promise<Result<StoredResponse>>,
  ): Promise<Result<AtMostOnceResponse>> {
    const reservation = await this.reserve(ctx, service, key, call);
    if (!reservation.ok) {
      // The command may have been committed although no answer came. Nothing
      // was sent, so the key is given back as soon as the group is reachable.
      if (reservation.error.ran === RunState.Unknown) {
        void this.settle(ctx, service, key, SettleOutcome.NotRun);
      }
      const {message} = reservation.error;
      const options = {message, retryAfterMs: RETRY_AFTER_MS};
      return fail(new VmuxError(ErrorCodes.NoQuorum, options));
    }
    if (reservation.value.verdict !== ReserveVerdict.Granted) {
      return createDuplicateResult(reservation.value);
    }
    const {requestId} = ctx;
    this.options.timeline.add(EventKind.Reserved, key, requestId);
    const result = await sendCall();
    const outcome = classifyOutcome(result);
    const response = result.ok ? result.value : undefined;
    await this.settle(ctx, service, key, outcome, response);
    this.options.timeline.add(EventKind.Settled, outcome, requestId);
    if (!result.ok) return result;
    return succeed({answer: result.value, replayed: false});
  }

  private reserve(
    ctx: RequestContext,
    service: ServiceDeclaration,
    key: string,
    call: ServiceCall,
  ): Promise<Result<ReserveResult>> {
    return this.options.control.callLeader(
      (api, signal) =>
        api.register.reserve.mutate(
          {
            workspace: ctx.workspace.name,
            service: service.name,
            key,
            digest: computeCallDigest(call),
            requestId: ctx.requestId,
            entry: this.options.entryId,
            leaseMs: ctx.workClass.deadlineMs + LEASE_GRACE_MS,
            retentionMs: service.retentionMs,
          },
          {signal},
        ),
      RESERVE_TIMEOUT_MS,
    );
  }

  private settle(
    ctx: RequestContext,
    service: ServiceDeclaration,
    key: string,
    outcome: SettleOutcome,
    response?: StoredResponse,
  ): Promise<void> {
    return this.options.settler.settle({
      workspace: ctx.workspace.name,
      service: service.name,
      key,
      requestId: ctx.requestId,
      outcome,
      answer: response,
    });
  }
}

function classifyOutcome(result: Result<StoredResponse>): SettleOutcome {
  if (result.ok) return SettleOutcome.Done;
  return result.error.ran === RunState.NotRun
    ? SettleOutcome.NotRun
    : SettleOutcome.Unknown;
}

function createDuplicateResult(
  existing: ReserveResult,
): Result<AtMostOnceResponse> {
  const {verdict, state, answer: response, requestId} = existing;
  if (verdict === ReserveVerdict.BodyMismatch) {
    return fail(new VmuxError(ErrorCodes.KeyReused));
  }
  if (verdict === ReserveVerdict.KeyLimitReached) {
    const message = 'the workspace has too many idempotency keys';
    return fail(new VmuxError(ErrorCodes.QueueFull, {message}));
  }
  if (state === ReservationState.Done && response) {
    return succeed({answer: response, replayed: true});
  }
  if (state === ReservationState.Running) {
    const message = `request ${requestId} with this key is still running`;
    const options = {message, retryAfterMs: RETRY_AFTER_MS};
    return fail(new VmuxError(ErrorCodes.StillRunning, options));
  }
  const message = `outcome of request ${requestId} with this key is unknown; an operator can settle it`;
  return fail(
    new VmuxError(ErrorCodes.OutcomeUnknown, {message, ran: RunState.Unknown}),
  );
}

function computeCallDigest({method, path, body}: ServiceCall): string {
  return createHash('sha256')
    .update(`${method}\n${path}\n`)
    .update(body)
    .digest('hex');
}
