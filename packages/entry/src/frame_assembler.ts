import {FrameKind, type Frame} from '@vanillamux/protocol';

const MAX_BUFFERED_FRAMES = 1_024;

/** Identity of an attempt, which its frames carry. */
export interface AttemptId {
  readonly requestId: string;
  readonly attempt: number;
}

/**
 * Reorders the token frames of one request. Drops duplicate and late frames
 * and those of superseded attempts, and buffers frames that arrive before
 * their predecessors, so that each token is delivered once and in order.
 */
export class FrameAssembler {
  private bufferedFrames = new Map<number, Frame>();
  private expectedIndex: number;

  constructor(
    private readonly requestId: string,
    firstIndex = 0,
  ) {
    this.expectedIndex = firstIndex;
  }

  /** Index of the next token that the caller needs. */
  get nextIndex(): number {
    return this.expectedIndex;
  }

  /** Accepts a frame and returns the token frames that can be delivered. */
  accept(frame: Frame, attemptId: AttemptId): Frame[] {
    const isOtherAttempt =
      frame.requestId !== this.requestId ||
      frame.requestId !== attemptId.requestId ||
      frame.attempt !== attemptId.attempt;
    if (isOtherAttempt || frame.kind !== FrameKind.Token) return [];
    if (frame.index < this.expectedIndex) return [];
    if (this.bufferedFrames.size >= MAX_BUFFERED_FRAMES) return [];
    this.bufferedFrames.set(frame.index, frame);
    return this.takeFramesInOrder();
  }

  /** Whether every token before the `Done` frame has been delivered. */
  isComplete(doneFrame: Frame): boolean {
    return (
      doneFrame.kind === FrameKind.Done &&
      doneFrame.index === this.expectedIndex
    );
  }

  /** Discards buffered frames; the next attempt generates those tokens again. */
  discardBufferedFrames(): void {
    this.bufferedFrames = new Map();
  }

  private takeFramesInOrder(): Frame[] {
    const inOrder: Frame[] = [];
    let frame = this.bufferedFrames.get(this.expectedIndex);
    while (frame) {
      inOrder.push(frame);
      this.bufferedFrames.delete(this.expectedIndex);
      this.expectedIndex++;
      frame = this.bufferedFrames.get(this.expectedIndex);
    }
    return inOrder;
  }
}
