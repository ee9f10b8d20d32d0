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
import {ENDED} from './ended.js';
import {SILENCE_LIMIT_MS, type EngineClient} from './engine_client.js';
import type {FrameAssembler} from './frame_assembler.js';
import {readWithin, SILENT} from './read_within.js';

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
enum ConnectionEnd {
  Done,
  Broken,
}

/**
 * Runs one attempt on one engine. A connection that breaks or goes silent is
 * closed and replaced by a new one, on which the stream resumes.
 */
export class EngineAttempt {
  private firstError?: VmuxError;

  constructor(private readonly options: EngineAttemptOptions) {}

  async run(): Promise<Result<void>> {
    const {signal} = this.options;
    for (let count = 0; count < MAX_CONNECTIONS_PER_ATTEMPT; count++) {
      const connection = new AbortController();
      const either = AbortSignal.any([signal, connection.signal]);
      const opened = await this.open(count, either);
      if (!opened.ok) return fail(this.firstError ?? opened.error);
      const end = await this.read(opened.value, connection);
      if (signal.aborted) return fail(new VmuxError(ErrorCodes.Cancelled));
      if (end instanceof VmuxError) return fail(end);
      if (end === ConnectionEnd.Done) return succeed(undefined);
      this.firstError = new VmuxError(ErrorCodes.BackendSilent, {
        message: `backend server ${this.options.backend.id} went silent`,
        ran: RunState.Unknown,
      });
    }
    return fail(this.firstError ?? new VmuxError(ErrorCodes.BackendFailed));
  }

  private open(
    count: number,
    signal: AbortSignal,
  ): Promise<Result<AsyncIterable<Frame>>> {
    const {client, backend, request, assembler} = this.options;
    if (count === 0) return client.generate(backend.address, request, signal);
    const {requestId, attempt} = request;
    const point = {requestId, attempt, fromIndex: assembler.next};
    return client.resume(backend.address, point, signal);
  }

  private async read(
    frames: AsyncIterable<Frame>,
    connection: AbortController,
  ): Promise<ConnectionEnd | VmuxError> {
    const iterator = frames[Symbol.asyncIterator]();
    try {
      for (;;) {
        const item = await readWithin(iterator, SILENCE_LIMIT_MS);
        if (item === SILENT || item.done) return ConnectionEnd.Broken;
        const end = await this.take(item.value);
        if (end !== undefined) return end;
      }
    } catch {
      // The connection broke; the next one resumes the stream.
      return ConnectionEnd.Broken;
    } finally {
      connection.abort(ENDED);
    }
  }

  private async take(
    frame: Frame,
  ): Promise<ConnectionEnd | VmuxError | undefined> {
    const {assembler, request, onToken} = this.options;
    for (const ready of assembler.accept(frame, request)) await onToken(ready);
    if (frame.kind === FrameKind.Done) {
      return assembler.isComplete(frame)
        ? ConnectionEnd.Done
        : ConnectionEnd.Broken;
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
