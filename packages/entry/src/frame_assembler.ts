import {FrameKind, type Frame} from '@vanillamux/protocol';

const MAX_BUFFERED_FRAMES = 1_024;

/** The identity that frames must carry to belong to an answer. */
export interface AttemptId {
  readonly requestId: string;
  readonly attempt: number;
}

/**
 * Puts the frames of one answer in order. Frames that come twice, late, out of
 * order or from a superseded attempt never reach the caller twice or wrongly.
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

  /** Takes a frame. Returns the token frames that are now in order. */
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

  /** Whether every token before the end of the answer has been delivered. */
  isComplete(doneFrame: Frame): boolean {
    return (
      doneFrame.kind === FrameKind.Done &&
      doneFrame.index === this.expectedIndex
    );
  }

  /** Drops frames that arrived early; a new attempt sends them again. */
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
