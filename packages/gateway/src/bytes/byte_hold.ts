import type {ByteBudget} from './byte_budget.js';

/**
 * Bytes of each body that need no budget, so that ordinary responses and
 * requests are served while large ones fill it.
 */
const FREE_BYTES = 16 * 1_024;

/** Bytes of one body that are held until they are released. */
export class ByteHold {
  private bodyBytes = 0;
  private takenBytes = 0;

  constructor(
    private readonly budget: ByteBudget,
    private readonly subject: string,
  ) {}

  /** Adds bytes of the body; returns false if there is no room for them. */
  add(bytes: number): boolean {
    const bodyBytes = this.bodyBytes + bytes;
    const neededBytes = Math.max(0, bodyBytes - FREE_BYTES) - this.takenBytes;
    if (neededBytes > 0) {
      if (!this.budget.take(this.subject, neededBytes)) return false;
      this.takenBytes += neededBytes;
    }
    this.bodyBytes = bodyBytes;
    return true;
  }

  /** Gives all bytes back; the hold may be used again for another body. */
  release(): void {
    if (this.takenBytes > 0)
      this.budget.giveBack(this.subject, this.takenBytes);
    this.bodyBytes = 0;
    this.takenBytes = 0;
  }
}
