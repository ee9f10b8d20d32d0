import {
  FrameKind,
  type Frame,
  type GenerateRequest,
} from '@vanillamux/protocol';
import {monotonicMs} from '@vanillamux/shared';
import {SequencePhase} from './sequence_phase.js';

/** One attempt of a request in the engine, with the frames it has produced. */
export class Sequence {
  phase = SequencePhase.Waiting;
  remainingPrefillTokens: number;
  cachedTokens = 0;
  /** KV memory that is reserved for the sequence, in tokens. */
  reservedTokens = 0;
  nextTokenIndex: number;
  /** Open connections that stream the frames. */
  readerCount = 0;
  /** When the last reader disconnected; the lease runs from this time. */
  lastReaderClosedMs = monotonicMs();
  readonly frames: Frame[] = [];
  private readonly listeners = new Set<(frame: Frame) => void>();

  constructor(readonly request: GenerateRequest) {
    this.remainingPrefillTokens = request.promptTokens;
    this.nextTokenIndex = request.deliveredTokens;
  }

  get attemptKey(): string {
    return createAttemptKey(this.request.requestId, this.request.attempt);
  }

  /** Upper bound of the KV memory that the sequence needs, in tokens. */
  get neededTokens(): number {
    const {promptTokens, maxTokens, segment} = this.request;
    const outputTokens = segment?.holdOnly ? 0 : maxTokens;
    return promptTokens + outputTokens - this.cachedTokens;
  }

  get isFinished(): boolean {
    return this.phase === SequencePhase.Finished;
  }

  /** Whether the lease has expired without a reader. */
  isLeaseExpired(): boolean {
    if (this.readerCount > 0) return false;
    return monotonicMs() - this.lastReaderClosedMs > this.request.leaseMs;
  }

  /** Calls `listener` with each new frame; returns a function that stops it. */
  subscribe(listener: (frame: Frame) => void): () => void {
    this.listeners.add(listener);
    return () => this.listeners.delete(listener);
  }

  /** Retains the KV cache of a processed segment for later segments. */
  markHeld(): void {
    this.phase = SequencePhase.Held;
    const {nextTokenIndex: index, cachedTokens} = this;
    this.emit({kind: FrameKind.Ready, index, text: '', cachedTokens});
  }

  /** Produces the next token. The same prompt always gives the same text. */
  produceToken(): void {
    const {request, nextTokenIndex} = this;
    this.emit({
      kind: FrameKind.Token,
      index: nextTokenIndex,
      text: `w${nextTokenIndex}-${(request.promptTokens + nextTokenIndex * 7) % 97} `,
      cachedTokens: this.cachedTokens,
    });
    this.nextTokenIndex++;
    if (this.nextTokenIndex >= request.maxTokens) this.finish(FrameKind.Done);
  }

  /** Finishes the sequence with a final frame. */
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

export function createAttemptKey(requestId: string, attempt: number): string {
  return `${requestId}#${attempt}`;
}
