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
  succeed,
  VmuxError,
  type Result,
} from '@vanillamux/shared';
import {ABORT_REASON} from './abort_reason.js';
import {FRAME_TIMEOUT_MS, type EngineClient} from './engine_client.js';
import type {FrameAssembler} from './frame_assembler.js';
import {readWithTimeout, TIMED_OUT} from './read_with_timeout.js';

const MAX_CONNECTIONS_PER_ATTEMPT = 3;

/** What one attempt on one engine works with. */
export interface EngineAttemptOptions {
  readonly client: EngineClient;
  readonly backend: BackendView;
  readonly request: GenerateRequest;
  readonly assembler: FrameAssembler;
  /** Receives each token frame that is next in order. */
  readonly onToken: (frame: Frame) => Promise<void>;
  readonly signal: AbortSignal;
}

/** How one connection of an attempt ended. */
enum ConnectionOutcome {
  Done,
  Broken,
}

/**
 * Runs one attempt on one engine. A connection that breaks or goes silent is
 * closed and replaced by a new one, on which the stream resumes.
 */
export class EngineAttempt {
  private connectionError?: VmuxError;

  constructor(private readonly options: EngineAttemptOptions) {}

  async run(): Promise<Result<void>> {
    const {signal} = this.options;
    for (
      let connectionIndex = 0;
      connectionIndex < MAX_CONNECTIONS_PER_ATTEMPT;
      connectionIndex++
    ) {
      const connectionController = new AbortController();
      const combinedSignal = AbortSignal.any([
        signal,
        connectionController.signal,
      ]);
      const opened = await this.openConnection(connectionIndex, combinedSignal);
      if (!opened.ok) return fail(this.connectionError ?? opened.error);
      const outcome = await this.readFrames(opened.value, connectionController);
      if (signal.aborted) return fail(new VmuxError(ErrorCodes.Cancelled));
      if (outcome instanceof VmuxError) return fail(outcome);
      if (outcome === ConnectionOutcome.Done) return succeed(undefined);
      this.connectionError = new VmuxError(ErrorCodes.BackendSilent, {
        message: `backend server ${this.options.backend.id} went silent`,
        ran: RunState.Unknown,
      });
    }
    return fail(
      this.connectionError ?? new VmuxError(ErrorCodes.BackendFailed),
    );
  }

  private openConnection(
    connectionIndex: number,
    signal: AbortSignal,
  ): Promise<Result<AsyncIterable<Frame>>> {
    const {client, backend, request, assembler} = this.options;
    if (connectionIndex === 0)
      return client.generate(backend.address, request, signal);
    const {requestId, attempt} = request;
    const resumeRequest = {requestId, attempt, fromIndex: assembler.nextIndex};
    return client.resume(backend.address, resumeRequest, signal);
  }

  private async readFrames(
    frames: AsyncIterable<Frame>,
    connectionController: AbortController,
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
    } finally {
      connectionController.abort(ABORT_REASON);
    }
  }

  private async handleFrame(
    frame: Frame,
  ): Promise<ConnectionOutcome | VmuxError | undefined> {
    const {assembler, request, onToken} = this.options;
    for (const tokenFrame of assembler.accept(frame, request))
      await onToken(tokenFrame);
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
}
