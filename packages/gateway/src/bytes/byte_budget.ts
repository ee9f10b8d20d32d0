import {ByteHold} from './byte_hold.js';

/**
 * Bounds the bytes of bodies that this process keeps, in sum. One subject, such
 * as a backend server or a workspace, may hold as much as is left free (dynamic
 * thresholds, Choudhury and Hahne, 1998): alone it gets a half, and however many
 * press, one that holds nothing yet still finds room.
 */
export class ByteBudget {
  private readonly heldBySubject = new Map<string, number>();
  private totalBytes = 0;
  private refusalCount = 0;

  constructor(private readonly maxBytes: number) {}

  /** Bytes that are held now. */
  get heldBytes(): number {
    return this.totalBytes;
  }

  /** Number of bodies that were given up for want of room. */
  get refusals(): number {
    return this.refusalCount;
  }

  /** Opens a hold, without bytes at first, for a body of the subject. */
  open(subject: string): ByteHold {
    return new ByteHold(this, subject);
  }

  /** Takes bytes for a subject; returns false if there is no room. */
  take(subject: string, bytes: number): boolean {
    const held = this.heldBySubject.get(subject) ?? 0;
    const freeBytes = this.maxBytes - this.totalBytes - bytes;
    if (held + bytes > freeBytes) {
      this.refusalCount++;
      return false;
    }
    this.heldBySubject.set(subject, held + bytes);
    this.totalBytes += bytes;
    return true;
  }

  /** Gives back bytes of a subject. */
  giveBack(subject: string, bytes: number): void {
    const held = (this.heldBySubject.get(subject) ?? 0) - bytes;
    if (held > 0) this.heldBySubject.set(subject, held);
    else this.heldBySubject.delete(subject);
    this.totalBytes -= bytes;
  }
}
