const EVENT_END = Buffer.from('\n\n');
const ID_FIELD = /^id:[ ]?(.*)$/m;

/** Bytes of complete events, and how many events they are. */
export interface CompleteEvents {
  readonly bytes: Buffer;
  readonly count: number;
}

/**
 * Buffers a stream of server-sent events (WHATWG HTML, section 9.2) so that
 * only complete events are forwarded, and tracks the last event id.
 */
export class EventSplitter {
  /** Last id among the complete events. */
  lastEventId?: string;
  private remainder: Buffer = Buffer.alloc(0);

  /** Adds bytes and returns the events that they complete. */
  push(bytes: Buffer): CompleteEvents {
    const pending =
      this.remainder.length > 0
        ? Buffer.concat([this.remainder, bytes])
        : bytes;
    let start = 0;
    let count = 0;
    for (;;) {
      const endIndex = pending.indexOf(EVENT_END, start);
      if (endIndex < 0) break;
      this.updateLastEventId(pending.subarray(start, endIndex));
      start = endIndex + EVENT_END.length;
      count++;
    }
    this.remainder = pending.subarray(start);
    return {bytes: pending.subarray(0, start), count};
  }

  /** Removes and returns the bytes after the last complete event. */
  takeRemainder(): Buffer {
    const {remainder} = this;
    this.remainder = Buffer.alloc(0);
    return remainder;
  }

  private updateLastEventId(event: Buffer): void {
    const id = ID_FIELD.exec(event.toString('latin1'))?.[1]?.trim();
    if (id) this.lastEventId = id;
  }
}
