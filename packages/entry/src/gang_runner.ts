import type {GenerateRequest} from '@vanillamux/protocol';
import {
  planGang,
  type PrefillShare,
  type InFlightTracker,
} from '@vanillamux/routing';
import {
  Deferred,
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
import {ABORT_REASON} from './abort_reason.js';
import type {BackendDirectory} from './backend_directory.js';
import {createAbortError} from './create_abort_error.js';
import {EngineAttempt} from './engine_attempt.js';
import type {EngineCanceller} from './engine_canceller.js';
import type {EngineClient} from './engine_client.js';
import {FrameAssembler} from './frame_assembler.js';
import type {GenerationJob, GenerationReport, TokenSink} from './generation.js';
import type {RequestContext} from './request_context.js';
import type {
  MemoryReservation,
  ReservationClient,
} from './reservation_client.js';

const MAX_ATTEMPTS = 3;
const MIN_RETRY_DELAY_MS = 50;
const MAX_RETRY_DELAY_MS = 250;
const LEASE_MS = 2_000;

/** Dependencies of a `GangRunner`. */
export interface GangRunnerOptions {
  readonly directory: BackendDirectory;
  readonly ledger: InFlightTracker;
  readonly reservationClient: ReservationClient;
  readonly engineClient: EngineClient;
  readonly canceller: EngineCanceller;
  readonly timeline: Timeline;
}

/** State of a request that runs on a gang. */
interface GangRequest {
  readonly ctx: RequestContext;
  readonly job: GenerationJob;
  readonly sink: TokenSink;
  readonly report: GenerationReport;
  readonly assembler: FrameAssembler;
  /** Engines that failed this request; their leases may not have expired. */
  readonly failedBackendIds: Set<string>;
}

/**
 * Runs prompts that are too long for the memory of any single engine on a gang,
 * a set of engines that are reserved together. Memory is reserved on all of
 * them or on none, so that gangs can't deadlock. The engines process their
 * prefill shares one after the other, each importing the KV cache of the shares
 * before; the last engine generates the output.
 */
export class GangRunner {
  constructor(private readonly options: GangRunnerOptions) {}

  /** Whether the total memory of the engines is large enough for the request. */
  canFit(job: GenerationJob): boolean {
    const candidates = this.options.directory
      .listAllCandidates({
        model: job.model,
        memoryTokens: 0,
        excludedIds: new Set(),
      })
      .map(backend => ({...backend, freeTokens: backend.memoryTokens}));
    const shares = planGang(job.promptTokens, job.maxTokens, candidates);
    return shares !== undefined;
  }

  /** Runs a request until it completes or fails, and updates the report. */
  async run(
    ctx: RequestContext,
    job: GenerationJob,
    sink: TokenSink,
    report: GenerationReport,
  ): Promise<Result<void>> {
    const assembler = new FrameAssembler(ctx.requestId);
    const failedBackendIds = new Set<string>();
    const gangRequest: GangRequest = {
      ctx,
      job,
      sink,
      report,
      assembler,
      failedBackendIds,
    };
    for (;;) {
      report.attempts++;
      const result = await this.runAttempt(gangRequest);
      if (result.ok) return result;
      if (ctx.signal.aborted) return fail(createAbortError(ctx));
      this.options.timeline.add(
        EventKind.AttemptFailed,
        result.error.message,
        ctx.requestId,
      );
      if (report.attempts >= MAX_ATTEMPTS) return result;
      assembler.discardBufferedFrames();
    }
  }

  private async runAttempt(gangRequest: GangRequest): Promise<Result<void>> {
    const reserved = await this.reserveAll(gangRequest);
    if (!reserved.ok) return reserved;
    const {shares, reservations} = reserved.value;
    gangRequest.report.backend = shares
      .map(({backend}) => backend.id)
      .join('+');
    this.options.timeline.add(
      EventKind.Routed,
      gangRequest.report.backend,
      gangRequest.ctx.requestId,
    );
    const ledgerEntries = shares.map(({backend, promptTokens}) =>
      this.options.ledger.add({
        backendId: backend.id,
        priority: gangRequest.ctx.workClass.priority,
        prefillTokens: promptTokens,
        heldTokens: promptTokens,
      }),
    );
    const attemptController = new AbortController();
    const signal = AbortSignal.any([
      gangRequest.ctx.signal,
      attemptController.signal,
    ]);
    const result = await this.processShares(
      gangRequest,
      shares,
      attemptController,
      signal,
    );
    attemptController.abort(ABORT_REASON);
    shares.forEach(({backend}, index) =>
      this.options.canceller.cancel({
        address: backend.address,
        requestId: shareRequestId(
          gangRequest,
          index,
          index < shares.length - 1,
        ),
        attempt: gangRequest.report.attempts,
      }),
    );
    for (const ledgerEntry of ledgerEntries) ledgerEntry.end();
    for (const reservation of reservations) reservation.release();
    return result;
  }

  /**
   * Reserves memory for every share or none. Waits before each retry without
   * keeping any reservation.
   */
  private async reserveAll(
    gangRequest: GangRequest,
  ): Promise<
    Result<{shares: PrefillShare[]; reservations: MemoryReservation[]}>
  > {
    const {ctx, job} = gangRequest;
    while (!ctx.signal.aborted) {
      const candidates = this.options.directory.listAllCandidates({
        model: job.model,
        memoryTokens: 0,
        excludedIds: gangRequest.failedBackendIds,
      });
      const shares = planGang(job.promptTokens, job.maxTokens, candidates);
      const reservations =
        shares && (await this.tryReserve(gangRequest, shares));
      if (shares && reservations) return succeed({shares, reservations});
      // Too few engines are left, so those that failed become candidates again.
      if (!shares) gangRequest.failedBackendIds.clear();
      const delayRangeMs = MAX_RETRY_DELAY_MS - MIN_RETRY_DELAY_MS;
      await sleep(
        MIN_RETRY_DELAY_MS + Math.random() * delayRangeMs,
        ctx.signal,
      );
    }
    return fail(createAbortError(ctx));
  }

  private async tryReserve(
    gangRequest: GangRequest,
    shares: readonly PrefillShare[],
  ): Promise<MemoryReservation[] | undefined> {
    const reservations: MemoryReservation[] = [];
    for (const [index, {backend, promptTokens}] of shares.entries()) {
      const isLast = index === shares.length - 1;
      const reserved = await this.options.reservationClient.reserve({
        backendId: backend.id,
        failureDomain: backend.failureDomain,
        holder: `${gangRequest.ctx.requestId}#${gangRequest.report.attempts}`,
        tokens: promptTokens + (isLast ? gangRequest.job.maxTokens : 0),
      });
      if (!reserved.ok) {
        for (const reservation of reservations) reservation.release();
        return undefined;
      }
      reservations.push(reserved.value);
    }
    return reservations;
  }

  private async processShares(
    gangRequest: GangRequest,
    shares: readonly PrefillShare[],
    attemptController: AbortController,
    signal: AbortSignal,
  ): Promise<Result<void>> {
    for (let index = 0; index < shares.length - 1; index++) {
      const prefilled = await this.prefillShare(
        gangRequest,
        shares,
        index,
        attemptController,
        signal,
      );
      if (!prefilled.ok) return prefilled;
    }
    return this.generateOutput(gangRequest, shares, signal);
  }

  /**
   * Processes one prefill share. Its stream stays open until the attempt ends,
   * because the engine releases the KV cache when nobody has read the stream
   * for the lease time. The attempt is aborted when the engine fails.
   */
  private prefillShare(
    gangRequest: GangRequest,
    shares: readonly PrefillShare[],
    index: number,
    attemptController: AbortController,
    signal: AbortSignal,
  ): Promise<Result<void>> {
    const {backend} = shares[index]!;
    const request = createShareRequest(
      gangRequest,
      shares[index]!,
      index,
      true,
    );
    const ready = new Deferred<Result<void>>();
    const stream = new EngineAttempt({
      client: this.options.engineClient,
      backend,
      request,
      assembler: new FrameAssembler(request.requestId, request.deliveredTokens),
      onToken: () => Promise.resolve(),
      onReady: () => ready.resolve(succeed(undefined)),
      canGiveUp: () => this.canReplace(gangRequest, shares, backend.id),
      signal,
    });
    void stream.run().then(ended => {
      ready.resolve(ended.ok ? fail(createShareError(backend.id)) : ended);
      if (signal.aborted) return;
      gangRequest.failedBackendIds.add(backend.id);
      attemptController.abort(ABORT_REASON);
    });
    return ready.promise;
  }

  /**
   * Whether another attempt is left and a gang without the engine fits in the
   * memory that is free or that this gang holds.
   */
  private canReplace(
    {job, report, failedBackendIds}: GangRequest,
    shares: readonly PrefillShare[],
    backendId: string,
  ): boolean {
    if (report.attempts >= MAX_ATTEMPTS) return false;
    const heldTokens = new Map(
      shares.map(({backend, promptTokens}) => [backend.id, promptTokens]),
    );
    const candidates = this.options.directory
      .listAllCandidates({
        model: job.model,
        memoryTokens: 0,
        excludedIds: new Set([...failedBackendIds, backendId]),
      })
      .map(backend => ({
        ...backend,
        freeTokens: Math.min(
          backend.memoryTokens,
          backend.freeTokens + (heldTokens.get(backend.id) ?? 0),
        ),
      }));
    return planGang(job.promptTokens, job.maxTokens, candidates) !== undefined;
  }

  private async generateOutput(
    gangRequest: GangRequest,
    shares: readonly PrefillShare[],
    signal: AbortSignal,
  ): Promise<Result<void>> {
    const {ctx, report, sink, assembler} = gangRequest;
    const lastIndex = shares.length - 1;
    const share = shares[lastIndex]!;
    const result = await new EngineAttempt({
      client: this.options.engineClient,
      backend: share.backend,
      request: createShareRequest(gangRequest, share, lastIndex, false),
      assembler,
      signal,
      canGiveUp: () => this.canReplace(gangRequest, shares, share.backend.id),
      onToken: async frame => {
        if (report.firstTokenMs === undefined) {
          report.firstTokenMs = monotonicMs() - ctx.startedMs;
          this.options.timeline.add(
            EventKind.FirstToken,
            share.backend.id,
            ctx.requestId,
          );
        }
        report.answerTokens++;
        await sink.write(frame.text);
      },
    }).run();
    if (!result.ok && !signal.aborted)
      gangRequest.failedBackendIds.add(share.backend.id);
    return result;
  }
}

/** Returns a share's request id; the last share has the request's own id. */
function shareRequestId(
  {ctx}: GangRequest,
  index: number,
  holdOnly: boolean,
): string {
  return holdOnly ? `${ctx.requestId}/${index}` : ctx.requestId;
}

function createShareRequest(
  gangRequest: GangRequest,
  {promptTokens, importTokens}: PrefillShare,
  index: number,
  holdOnly: boolean,
): GenerateRequest {
  const {ctx, job, report, assembler} = gangRequest;
  const promptStart = importTokens * (job.prompt.length / job.promptTokens);
  const promptEnd =
    promptStart + promptTokens * (job.prompt.length / job.promptTokens);
  return {
    requestId: shareRequestId(gangRequest, index, holdOnly),
    attempt: report.attempts,
    model: job.model,
    prompt: job.prompt.slice(Math.floor(promptStart), Math.ceil(promptEnd)),
    promptTokens,
    blocks: [],
    maxTokens: job.maxTokens,
    deliveredTokens: assembler.nextIndex,
    priority: ctx.workClass.priority,
    leaseMs: LEASE_MS,
    segment: {importTokens, holdOnly},
  };
}

function createShareError(backendId: string): VmuxError {
  return new VmuxError(ErrorCodes.BackendFailed, {
    message: `${backendId} did not process its part of the prompt`,
    ran: RunState.Failed,
  });
}
