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
  remainingPrefillTokens: number;
  cachedTokens = 0;
  /** Tokens of engine memory that the sequence holds. */
  reservedTokens = 0;
  nextTokenIndex: number;
  /** Connections that read the frames. */
  readerCount = 0;
  /** When the last reader went away; the lease runs from here. */
  lastReaderClosedMs = monotonicMs();
  readonly frames: Frame[] = [];
  private readonly listeners = new Set<(frame: Frame) => void>();

  constructor(readonly request: GenerateRequest) {
    this.remainingPrefillTokens = request.promptTokens;
    this.nextTokenIndex = request.deliveredTokens;
  }

  /** Identity of an attempt of a request. */
  get attemptKey(): string {
    return createAttemptKey(this.request.requestId, this.request.attempt);
  }

  /** Most memory that the sequence can come to need. */
  get neededTokens(): number {
    const {promptTokens, maxTokens, segment} = this.request;
    const outputTokens = segment?.holdOnly ? 0 : maxTokens;
    return promptTokens + outputTokens - this.cachedTokens;
  }

  get isFinished(): boolean {
    return this.phase === SequencePhase.Finished;
  }

  /** Whether nobody reads and the lease is over. */
  isLeaseExpired(): boolean {
    if (this.readerCount > 0) return false;
    return monotonicMs() - this.lastReaderClosedMs > this.request.leaseMs;
  }

  /** Calls `listener` with each new frame until the returned function runs. */
  subscribe(listener: (frame: Frame) => void): () => void {
    this.listeners.add(listener);
    return () => this.listeners.delete(listener);
  }

  /** Keeps the KV cache of a segment once it is processed. */
  markHeld(): void {
    this.phase = SequencePhase.Held;
    const {nextTokenIndex: index, cachedTokens} = this;
    this.emit({kind: FrameKind.Ready, index, text: '', cachedTokens});
  }

  /** Produces the next token. The same prompt always gives the same text. */
  produceToken(): void {
    const {request, nextTokenIndex: nextTokenIndex} = this;
    this.emit({
      kind: FrameKind.Token,
      index: nextTokenIndex,
      text: `w${nextTokenIndex}-${(request.promptTokens + nextTokenIndex * 7) % 97} `,
      cachedTokens: this.cachedTokens,
    });
    this.nextTokenIndex++;
    if (this.nextTokenIndex >= request.maxTokens) this.finish(FrameKind.Done);
  }

  /** Ends the sequence with a last frame. */
  finish(kind: FrameKind, message?: string): void {
    if (this.isFinished) return;
    this.phase = SequencePhase.Finished;
    const {nextTokenIndex: index, cachedTokens} = this;
    this.emit({kind, index, text: '', cachedTokens, message});
  }

  private emit(fields: Omit<Frame, 'requestId' | 'attempt'>): void {
    const {requestId, attempt} = this.request;
    const frame: Frame = {requestId, attempt, ...fields};
    this.frames.push(frame);
    for (const listener of this.listeners) listener(frame);
  }
}

/** Encodes the identity of an attempt of a request. */
export function createAttemptKey(requestId: string, attempt: number): string {
  return `${requestId}#${attempt}`;
}
