/** A blank line after a line that ended with LF or CRLF. */
const LF_EVENT_END = Buffer.from('\n\n');
const CRLF_EVENT_END = Buffer.from('\n\r\n');
const EMPTY = Buffer.alloc(0);
const ID_FIELD = /^id:[ ]?(.*)$/m;
/** Largest event of a stream; what an exchange buffers of a body. */
const MAX_EVENT_BYTES = 256 * 1_024;

/** Bytes of complete events, and how many events they are. */
export interface CompleteEvents {
  readonly bytes: Buffer;
  readonly count: number;
}

/** Options of an `EventSplitter`. */
export interface EventSplitterOptions {
  /** Called when an event exceeds its limit; the caller reads no further. */
  readonly onTooLarge: (reason: string) => void;
}

/**
 * Buffers a stream of server-sent events (WHATWG HTML, section 9.2) so that
 * only complete events are forwarded, and tracks the last event id.
 */
export class EventSplitter {
  /** Last id among the complete events. */
  lastEventId?: string;
  /** Holds the bytes after the last complete event at its start. */
  private buffer: Buffer = EMPTY;
  private remainderBytes = 0;

  constructor(private readonly options: EventSplitterOptions) {}

  /** Adds bytes and returns the events that they complete. */
  push(bytes: Buffer): CompleteEvents {
    // The end of an event may begin with the last bytes received before.
    let searchIndex = Math.max(
      0,
      this.remainderBytes - CRLF_EVENT_END.length + 1,
    );
    const pending = this.remainderBytes > 0 ? this.append(bytes) : bytes;
    let lfIndex = pending.indexOf(LF_EVENT_END, searchIndex);
    let crlfIndex = pending.indexOf(CRLF_EVENT_END, searchIndex);
    let start = 0;
    let count = 0;
    for (;;) {
      if (lfIndex >= 0 && lfIndex < searchIndex)
        lfIndex = pending.indexOf(LF_EVENT_END, searchIndex);
      if (crlfIndex >= 0 && crlfIndex < searchIndex)
        crlfIndex = pending.indexOf(CRLF_EVENT_END, searchIndex);
      const isCrlf = crlfIndex >= 0 && (lfIndex < 0 || crlfIndex < lfIndex);
      const endIndex = isCrlf ? crlfIndex : lfIndex;
      if (endIndex < 0) break;
      this.updateLastEventId(pending.subarray(start, endIndex));
      const eventEnd = isCrlf ? CRLF_EVENT_END : LF_EVENT_END;
      start = endIndex + eventEnd.length;
      searchIndex = start;
      count++;
    }
    if (count > 0) this.clear();
    if (count > 0 || pending === bytes) this.append(pending.subarray(start));
    if (this.remainderBytes > MAX_EVENT_BYTES)
      this.options.onTooLarge(`an event of more than ${MAX_EVENT_BYTES} bytes`);
    return {bytes: pending.subarray(0, start), count};
  }

  /** Removes and returns the bytes after the last complete event. */
  takeRemainder(): Buffer {
    const remainder = this.buffer.subarray(0, this.remainderBytes);
    this.clear();
    return remainder;
  }

  /** Adds to the remainder and returns it; the buffer grows by doubling. */
  private append(bytes: Buffer): Buffer {
    const size = this.remainderBytes + bytes.length;
    if (size > this.buffer.length) {
      const capacity = Math.max(size, 2 * this.buffer.length);
      const larger = Buffer.allocUnsafe(capacity);
      this.buffer.copy(larger, 0, 0, this.remainderBytes);
      this.buffer = larger;
    }
    bytes.copy(this.buffer, this.remainderBytes);
    this.remainderBytes = size;
    return this.buffer.subarray(0, size);
  }

  /** Starts a new buffer; the returned events may still be in use. */
  private clear(): void {
    this.buffer = EMPTY;
    this.remainderBytes = 0;
  }

  private updateLastEventId(event: Buffer): void {
    const id = ID_FIELD.exec(event.toString('latin1'))?.[1]?.trim();
    if (id) this.lastEventId = id;
  }
}
