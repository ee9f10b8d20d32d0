import {
  FrameKind,
  type Frame,
  type GenerateRequest,
} from '@vanillamux/protocol';
import {monotonicMs} from '@vanillamux/shared';
import {SequencePhase} from './sequence_phase.js';

/** One request in the engine with the frames it has produced. */
export class Sequence {
  phase = SequencePhase.Waiting;
  remainingPrefill: number;
  cachedTokens = 0;
  /** Tokens of engine memory that the sequence holds. */
  heldTokens = 0;
  produced: number;
  /** Connections that read the frames. */
  readers = 0;
  /** When the last reader went away; the lease runs from here. */
  readerLostMs = monotonicMs();
  readonly frames: Frame[] = [];
  private readonly listeners = new Set<(frame: Frame) => void>();

  constructor(readonly request: GenerateRequest) {
    this.remainingPrefill = request.promptTokens;
    this.produced = request.deliveredTokens;
  }

  /** Identity of an attempt of a request. */
  get key(): string {
    return encodeAttempt(this.request.requestId, this.request.attempt);
  }

  /** Most memory that the sequence can come to need. */
  get neededTokens(): number {
    const {promptTokens, maxTokens, segment} = this.request;
    const answerTokens = segment?.holdOnly ? 0 : maxTokens;
    return promptTokens + answerTokens - this.cachedTokens;
  }

  get isFinished(): boolean {
    return this.phase === SequencePhase.Finished;
  }

  /** Whether nobody reads and the lease is over. */
  isAbandoned(): boolean {
    if (this.readers > 0) return false;
    return monotonicMs() - this.readerLostMs > this.request.leaseMs;
  }

  /** Calls `listener` with each new frame until the returned function runs. */
  listen(listener: (frame: Frame) => void): () => void {
    this.listeners.add(listener);
    return () => this.listeners.delete(listener);
  }

  /** Keeps the KV cache of a segment once it is processed. */
  hold(): void {
    this.phase = SequencePhase.Held;
    const {produced: index, cachedTokens} = this;
    this.emit({kind: FrameKind.Ready, index, text: '', cachedTokens});
  }

  /** Produces the next token. The same prompt always gives the same text. */
  produceToken(): void {
    const {request, produced} = this;
    this.emit({
      kind: FrameKind.Token,
      index: produced,
      text: `w${produced}-${(request.promptTokens + produced * 7) % 97} `,
      cachedTokens: this.cachedTokens,
    });
    this.produced++;
    if (this.produced >= request.maxTokens) this.finish(FrameKind.Done);
  }

  /** Ends the sequence with a last frame. */
  finish(kind: FrameKind, message?: string): void {
    if (this.isFinished) return;
    this.phase = SequencePhase.Finished;
    const {produced: index, cachedTokens} = this;
    this.emit({kind, index, text: '', cachedTokens, message});
  }

  private emit(part: Omit<Frame, 'requestId' | 'attempt'>): void {
    const {requestId, attempt} = this.request;
    const frame: Frame = {requestId, attempt, ...part};
    this.frames.push(frame);
    for (const listener of this.listeners) listener(frame);
  }
}

/** Encodes the identity of an attempt of a request. */
export function encodeAttempt(requestId: string, attempt: number): string {
  return `${requestId}#${attempt}`;
}
