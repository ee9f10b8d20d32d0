const EVENT_END = Buffer.from('\n\n');
const ID_FIELD = /^id:[ ]?(.*)$/m;

/** Whole events of a stream, ready to be passed on. */
export interface CompleteEvents {
  readonly bytes: Buffer;
  readonly count: number;
}

/**
 * Cuts a stream of server-sent events (WHATWG HTML, section 9.2) after its last
 * whole event, and remembers the id of that event.
 */
export class EventSplitter {
  /** Id of the last whole event. */
  lastEventId?: string;
  private remainder: Buffer = Buffer.alloc(0);

  /** Takes bytes and returns the events that are whole with them. */
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

  /** Takes the bytes after the last whole event. */
  takeRemainder(): Buffer {
    const {remainder: remainder} = this;
    this.remainder = Buffer.alloc(0);
    return remainder;
  }

  private updateLastEventId(event: Buffer): void {
    const id = ID_FIELD.exec(event.toString('latin1'))?.[1]?.trim();
    if (id) this.lastEventId = id;
  }
}
