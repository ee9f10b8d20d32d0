import {
  FrameKind,
  type Frame,
  type GenerateRequest,
} from '@vanillamux/protocol';
import {
  planGang,
  type PrefillShare,
  type InFlightTracker,
} from '@vanillamux/routing';
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
import {ENDED} from './ended.js';
import {EngineAttempt} from './engine_attempt.js';
import type {EngineCanceller} from './engine_canceller.js';
import {SILENCE_LIMIT_MS, type EngineClient} from './engine_client.js';
import {explainAbort} from './explain_abort.js';
import {FrameAssembler} from './frame_assembler.js';
import type {GenerationJob, GenerationReport, TokenSink} from './generation.js';
import {readWithin, SILENT} from './read_within.js';
import type {RequestContext} from './request_context.js';
import type {HeldMemory, ReservationClient} from './reservation_client.js';

const MAX_ATTEMPTS = 3;
const MIN_BACKOFF_MS = 50;
const MAX_BACKOFF_MS = 250;
const LEASE_MS = 2_000;

/** What a `GangRunner` works with. */
export interface GangRunnerOptions {
  readonly directory: BackendDirectory;
  readonly ledger: InFlightTracker;
  readonly reservations: ReservationClient;
  readonly client: EngineClient;
  readonly canceller: EngineCanceller;
  readonly timeline: Timeline;
}

/** A request that runs on a gang. */
interface GangRun {
  readonly ctx: RequestContext;
  readonly job: GenerationJob;
  readonly sink: TokenSink;
  readonly report: GenerationReport;
  readonly assembler: FrameAssembler;
  /** Engines that failed this request; they may still hold their lease. */
  readonly failed: Set<string>;
}

/**
 * Runs prompts that no single engine can hold. Memory is reserved on all
 * engines of a gang or on none, so gangs cannot wait for each other in a
 * circle. The engines process their parts one after the other, each importing
 * the KV cache of the parts before; the last one generates the answer.
 */
export class GangRunner {
  constructor(private readonly options: GangRunnerOptions) {}

  /** Whether the engines together could hold the request. */
  canHold(job: GenerationJob): boolean {
    const candidates = this.options.directory
      .listAllCandidates({
        model: job.model,
        memoryTokens: 0,
        excludedIds: new Set(),
      })
      .map(view => ({...view, freeTokens: view.memoryTokens}));
    const parts = planGang(job.promptTokens, job.maxTokens, candidates);
    return parts !== undefined;
  }

  /** Runs a request to its end. The report is filled in as it goes. */
  async run(
    ctx: RequestContext,
    job: GenerationJob,
    sink: TokenSink,
    report: GenerationReport,
  ): Promise<Result<void>> {
    const assembler = new FrameAssembler(ctx.requestId);
    const failed = new Set<string>();
    const run: GangRun = {ctx, job, sink, report, assembler, failed};
    for (;;) {
      report.attempts++;
      const result = await this.attempt(run);
      if (result.ok) return result;
      if (ctx.signal.aborted) return fail(explainAbort(ctx));
      this.options.timeline.add(
        EventKind.AttemptFailed,
        result.error.message,
        ctx.requestId,
      );
      if (report.attempts >= MAX_ATTEMPTS) return result;
      assembler.startAttempt();
    }
  }

  private async attempt(run: GangRun): Promise<Result<void>> {
    const reserved = await this.reserveAll(run);
    if (!reserved.ok) return reserved;
    const {parts, held} = reserved.value;
    run.report.backend = parts.map(({backend}) => backend.id).join('+');
    this.options.timeline.add(
      EventKind.Routed,
      run.report.backend,
      run.ctx.requestId,
    );
    const flights = parts.map(({backend, promptTokens}) =>
      this.options.ledger.add({
        backendId: backend.id,
        priority: run.ctx.workClass.priority,
        prefillTokens: promptTokens,
        heldTokens: promptTokens,
      }),
    );
    const ending = new AbortController();
    const signal = AbortSignal.any([run.ctx.signal, ending.signal]);
    const result = await this.process(run, parts, ending, signal);
    ending.abort(ENDED);
    parts.forEach(({backend}, index) =>
      this.options.canceller.cancel({
        address: backend.address,
        requestId: partId(run, index, index < parts.length - 1),
        attempt: run.report.attempts,
      }),
    );
    for (const flight of flights) flight.end();
    for (const memory of held) memory.release();
    return result;
  }

  /** Reserves every part or none; waits between tries without holding any. */
  private async reserveAll(
    run: GangRun,
  ): Promise<Result<{parts: PrefillShare[]; held: HeldMemory[]}>> {
    const {ctx, job} = run;
    while (!ctx.signal.aborted) {
      const candidates = this.options.directory.listAllCandidates({
        model: job.model,
        memoryTokens: 0,
        excludedIds: run.failed,
      });
      const parts = planGang(job.promptTokens, job.maxTokens, candidates);
      const held = parts && (await this.tryReserve(run, parts));
      if (parts && held) return succeed({parts, held});
      // Better an engine that failed before than none.
      if (!parts) run.failed.clear();
      const spread = MAX_BACKOFF_MS - MIN_BACKOFF_MS;
      await sleep(MIN_BACKOFF_MS + Math.random() * spread, ctx.signal);
    }
    return fail(explainAbort(ctx));
  }

  private async tryReserve(
    run: GangRun,
    parts: readonly PrefillShare[],
  ): Promise<HeldMemory[] | undefined> {
    const held: HeldMemory[] = [];
    for (const [index, {backend, promptTokens}] of parts.entries()) {
      const isLast = index === parts.length - 1;
      const reserved = await this.options.reservations.reserve({
        backendId: backend.id,
        failureDomain: backend.failureDomain,
        holder: `${run.ctx.requestId}#${run.report.attempts}`,
        tokens: promptTokens + (isLast ? run.job.maxTokens : 0),
      });
      if (!reserved.ok) {
        for (const memory of held) memory.release();
        return undefined;
      }
      held.push(reserved.value);
    }
    return held;
  }

  private async process(
    run: GangRun,
    parts: readonly PrefillShare[],
    ending: AbortController,
    signal: AbortSignal,
  ): Promise<Result<void>> {
    for (const [index, part] of parts.slice(0, -1).entries()) {
      const ready = await this.hold(run, part, index, ending, signal);
      if (!ready.ok) return ready;
    }
    return this.generate(run, parts, signal);
  }

  /** Processes one part and keeps its connection open, which holds it. */
  private async hold(
    run: GangRun,
    part: PrefillShare,
    index: number,
    ending: AbortController,
    signal: AbortSignal,
  ): Promise<Result<void>> {
    const request = composePart(run, part, index, true);
    const {id, address} = part.backend;
    const opened = await this.options.client.generate(address, request, signal);
    if (!opened.ok) {
      run.failed.add(id);
      return opened;
    }
    const frames = opened.value[Symbol.asyncIterator]();
    const ready = await readUntilReady(frames, id);
    if (!ready.ok) run.failed.add(id);
    else void this.watch(run, id, frames, ending);
    return ready;
  }

  /** Ends the gang when an engine that holds a part goes silent or fails. */
  private async watch(
    run: GangRun,
    backendId: string,
    frames: AsyncIterator<Frame>,
    ending: AbortController,
  ): Promise<void> {
    try {
      for (;;) {
        const item = await readWithin(frames, SILENCE_LIMIT_MS);
        if (item === SILENT || item.done) break;
        if (item.value.kind === FrameKind.Error) break;
      }
    } catch {
      // A broken connection ends the gang as silence does.
    }
    if (ending.signal.aborted) return;
    run.failed.add(backendId);
    ending.abort(ENDED);
  }

  private async generate(
    run: GangRun,
    parts: readonly PrefillShare[],
    signal: AbortSignal,
  ): Promise<Result<void>> {
    const {ctx, report, sink, assembler} = run;
    const last = parts.length - 1;
    const part = parts[last]!;
    const result = await new EngineAttempt({
      client: this.options.client,
      backend: part.backend,
      request: composePart(run, part, last, false),
      assembler,
      signal,
      onToken: async frame => {
        if (report.firstTokenMs === undefined) {
          report.firstTokenMs = monotonicMs() - ctx.startedMs;
          this.options.timeline.add(
            EventKind.FirstToken,
            part.backend.id,
            ctx.requestId,
          );
        }
        report.answerTokens++;
        await sink.write(frame.text);
      },
    }).run();
    if (!result.ok && !signal.aborted) run.failed.add(part.backend.id);
    return result;
  }
}

/** The last part streams the answer under the request's own id. */
function partId({ctx}: GangRun, index: number, holdOnly: boolean): string {
  return holdOnly ? `${ctx.requestId}/${index}` : ctx.requestId;
}

function composePart(
  run: GangRun,
  {promptTokens, importTokens}: PrefillShare,
  index: number,
  holdOnly: boolean,
): GenerateRequest {
  const {ctx, job, report, assembler} = run;
  const start = importTokens * (job.prompt.length / job.promptTokens);
  const end = start + promptTokens * (job.prompt.length / job.promptTokens);
  return {
    requestId: partId(run, index, holdOnly),
    attempt: report.attempts,
    model: job.model,
    prompt: job.prompt.slice(Math.floor(start), Math.ceil(end)),
    promptTokens,
    blocks: [],
    maxTokens: job.maxTokens,
    deliveredTokens: assembler.next,
    priority: ctx.workClass.priority,
    leaseMs: LEASE_MS,
    segment: {importTokens, holdOnly},
  };
}

async function readUntilReady(
  frames: AsyncIterator<Frame>,
  backendId: string,
): Promise<Result<void>> {
  try {
    for (;;) {
      const item = await readWithin(frames, SILENCE_LIMIT_MS);
      if (item === SILENT || item.done) break;
      if (item.value.kind === FrameKind.Ready) return succeed(undefined);
      if (item.value.kind === FrameKind.Error) break;
    }
  } catch {
    // The connection broke; the whole gang is given up below.
  }
  return fail(
    new VmuxError(ErrorCodes.BackendFailed, {
      message: `${backendId} did not process its part of the prompt`,
      ran: RunState.Failed,
    }),
  );
}
