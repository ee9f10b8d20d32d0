import {FrameKind, type Frame} from '@vanillamux/protocol';

const MAX_EARLY_FRAMES = 1_024;

/** The identity that frames must carry to belong to an answer. */
export interface FrameOwner {
  readonly requestId: string;
  readonly attempt: number;
}

/**
 * Puts the frames of one answer in order. Frames that come twice, late, out of
 * order or from a superseded attempt never reach the caller twice or wrongly.
 */
export class FrameAssembler {
  private early = new Map<number, Frame>();
  private nextIndex: number;

  constructor(
    private readonly requestId: string,
    firstIndex = 0,
  ) {
    this.nextIndex = firstIndex;
  }

  /** Index of the next token that the caller needs. */
  get next(): number {
    return this.nextIndex;
  }

  /** Takes a frame. Returns the token frames that are now in order. */
  accept(frame: Frame, owner: FrameOwner): Frame[] {
    const foreign =
      frame.requestId !== this.requestId ||
      frame.requestId !== owner.requestId ||
      frame.attempt !== owner.attempt;
    if (foreign || frame.kind !== FrameKind.Token) return [];
    if (frame.index < this.nextIndex) return [];
    if (this.early.size >= MAX_EARLY_FRAMES) return [];
    this.early.set(frame.index, frame);
    return this.takeReady();
  }

  /** Whether every token before the end of the answer has been delivered. */
  isComplete(end: Frame): boolean {
    return end.kind === FrameKind.Done && end.index === this.nextIndex;
  }

  /** Drops frames that arrived early; a new attempt sends them again. */
  startAttempt(): void {
    this.early = new Map();
  }

  private takeReady(): Frame[] {
    const ready: Frame[] = [];
    let frame = this.early.get(this.nextIndex);
    while (frame) {
      ready.push(frame);
      this.early.delete(this.nextIndex);
      this.nextIndex++;
      frame = this.early.get(this.nextIndex);
    }
    return ready;
  }
}
