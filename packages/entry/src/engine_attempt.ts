import {
  FrameKind,
  type Frame,
  type GenerateRequest,
} from '@vanillamux/protocol';
import type {BackendView} from '@vanillamux/routing';
import {
  ErrorCodes,
  fail,
  RunState,
  sleep,
  succeed,
  VmuxError,
  type Result,
} from '@vanillamux/shared';
import {ABORT_REASON} from './abort_reason.js';
import {FRAME_TIMEOUT_MS, type EngineClient} from './engine_client.js';
import type {FrameAssembler} from './frame_assembler.js';
import {readWithTimeout, TIMED_OUT} from './read_with_timeout.js';

/** Connections that break or fall silent with no token between them. */
const MAX_BROKEN_CONNECTIONS = 3;
/** Time without a response after which an engine is silent; below its lease. */
const RESPONSE_TIMEOUT_MS = 1_500;
/** Delay before the next connection to an engine that can't be given up. */
const RESUME_DELAY_MS = 250;

/** Options of an `EngineAttempt`. */
export interface EngineAttemptOptions {
  readonly client: EngineClient;
  readonly backend: BackendView;
  readonly request: GenerateRequest;
  readonly assembler: FrameAssembler;
  /** Called with each token frame, in order. */
  readonly onToken: (frame: Frame) => Promise<void>;
  /** Called once the engine has accepted the request. */
  readonly onAccepted?: () => void;
  /** Called when the KV cache of a held segment is ready. */
  readonly onReady?: () => void;
  /** Whether something else will complete the request if this is given up. */
  readonly canGiveUp: () => boolean;
  readonly signal: AbortSignal;
}

/** Outcome of one connection of an attempt. */
enum ConnectionOutcome {
  Done,
  Broken,
  /** The connection could not be opened; the engine may still be running. */
  Unreachable,
  /** The engine has not responded to the request, which was given up. */
  GivenUp,
}

/**
 * Runs one attempt on one engine. When a connection breaks or delivers no frame
 * for `FRAME_TIMEOUT_MS`, it is closed and the stream resumes on a new one. A
 * silent engine is given up only if `canGiveUp` allows it.
 */
export class EngineAttempt {
  private isAccepted = false;
  private wasGivenUp = false;

  constructor(private readonly options: EngineAttemptOptions) {}

  /** Whether the attempt was given up, so that `run` can continue it. */
  get isResumable(): boolean {
    return this.wasGivenUp;
  }

  /** Runs the attempt, or continues it after it was given up. */
  async run(): Promise<Result<void>> {
    const {signal, assembler, request, canGiveUp} = this.options;
    let brokenConnections = 0;
    this.wasGivenUp = false;
    for (;;) {
      const firstIndex = assembler.nextIndex;
      const outcome = await this.runConnection();
      if (signal.aborted) return fail(new VmuxError(ErrorCodes.Cancelled));
      // Only the report of the end may be missing.
      if (assembler.nextIndex >= request.maxTokens) return succeed(undefined);
      if (outcome instanceof VmuxError) return fail(outcome);
      if (outcome === ConnectionOutcome.Done) return succeed(undefined);
      brokenConnections =
        assembler.nextIndex > firstIndex ? 1 : brokenConnections + 1;
      const isSilent =
        outcome === ConnectionOutcome.Unreachable ||
        brokenConnections >= MAX_BROKEN_CONNECTIONS;
      this.wasGivenUp =
        outcome === ConnectionOutcome.GivenUp || (isSilent && canGiveUp());
      if (this.wasGivenUp) return fail(this.createSilentError());
      if (!isSilent) continue;
      await sleep(RESUME_DELAY_MS, signal);
    }
  }

  private async runConnection(): Promise<ConnectionOutcome | VmuxError> {
    const controller = new AbortController();
    const signal = AbortSignal.any([this.options.signal, controller.signal]);
    try {
      if (!this.isAccepted) {
        const {client, backend, request, onAccepted} = this.options;
        const opened = await this.waitForResponse(
          client.generate(backend.address, request, signal),
        );
        if (!opened) return ConnectionOutcome.GivenUp;
        if (!opened.ok) return opened.error;
        this.isAccepted = true;
        onAccepted?.();
        return await this.readFrames(opened.value);
      }
      const resumed = await this.resume(controller, signal);
      if (resumed.ok) return await this.readFrames(resumed.value);
      // The engine has restarted or has released the attempt.
      if (resumed.error.ran === RunState.NotRun)
        return this.createSilentError();
      return ConnectionOutcome.Unreachable;
    } finally {
      controller.abort(ABORT_REASON);
    }
  }

  /** Returns nothing if the engine has not responded and can be given up. */
  private async waitForResponse<T>(
    response: Promise<T>,
  ): Promise<T | undefined> {
    const {signal, canGiveUp} = this.options;
    const timerController = new AbortController();
    try {
      for (;;) {
        const timeout = sleep(RESPONSE_TIMEOUT_MS, timerController.signal);
        const first = await Promise.race([
          response,
          timeout.then(() => undefined),
        ]);
        if (first !== undefined || signal.aborted) return await response;
        if (canGiveUp()) return undefined;
      }
    } finally {
      timerController.abort(ABORT_REASON);
    }
  }

  private async resume(
    controller: AbortController,
    signal: AbortSignal,
  ): Promise<Result<AsyncIterable<Frame>>> {
    const {client, backend, request, assembler} = this.options;
    const {requestId, attempt} = request;
    const timer = setTimeout(
      () => controller.abort(ABORT_REASON),
      FRAME_TIMEOUT_MS,
    );
    const resumed = await client.resume(
      backend.address,
      {requestId, attempt, fromIndex: assembler.nextIndex},
      signal,
    );
    clearTimeout(timer);
    return resumed;
  }

  private async readFrames(
    frames: AsyncIterable<Frame>,
  ): Promise<ConnectionOutcome | VmuxError> {
    const iterator = frames[Symbol.asyncIterator]();
    try {
      for (;;) {
        const next = await readWithTimeout(iterator, FRAME_TIMEOUT_MS);
        if (next === TIMED_OUT || next.done) return ConnectionOutcome.Broken;
        const outcome = await this.handleFrame(next.value);
        if (outcome !== undefined) return outcome;
      }
    } catch {
      // The connection broke; the next one resumes the stream.
      return ConnectionOutcome.Broken;
    }
  }

  private async handleFrame(
    frame: Frame,
  ): Promise<ConnectionOutcome | VmuxError | undefined> {
    const {assembler, request, onToken, onReady} = this.options;
    for (const tokenFrame of assembler.accept(frame, request))
      await onToken(tokenFrame);
    const isOtherAttempt =
      frame.requestId !== request.requestId ||
      frame.attempt !== request.attempt;
    if (isOtherAttempt) return undefined;
    if (frame.kind === FrameKind.Ready) onReady?.();
    if (frame.kind === FrameKind.Done) {
      return assembler.isComplete(frame)
        ? ConnectionOutcome.Done
        : ConnectionOutcome.Broken;
    }
    if (frame.kind === FrameKind.Error) {
      return new VmuxError(ErrorCodes.BackendFailed, {
        message: frame.message,
        ran: RunState.Failed,
      });
    }
    return undefined;
  }

  private createSilentError(): VmuxError {
    return new VmuxError(ErrorCodes.BackendSilent, {
      message: `backend server ${this.options.backend.id} went silent`,
      ran: RunState.Unknown,
    });
  }
}
