const EVENT_END = Buffer.from('\n\n');
const ID_FIELD = /^id:[ ]?(.*)$/m;

/** Whole events of a stream, ready to be passed on. */
export interface WholeEvents {
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
  private rest: Buffer = Buffer.alloc(0);

  /** Takes bytes and returns the events that are whole with them. */
  push(bytes: Buffer): WholeEvents {
    const all =
      this.rest.length > 0 ? Buffer.concat([this.rest, bytes]) : bytes;
    let start = 0;
    let count = 0;
    for (;;) {
      const at = all.indexOf(EVENT_END, start);
      if (at < 0) break;
      this.noteId(all.subarray(start, at));
      start = at + EVENT_END.length;
      count++;
    }
    this.rest = all.subarray(start);
    return {bytes: all.subarray(0, start), count};
  }

  /** Takes the bytes after the last whole event. */
  takeRest(): Buffer {
    const {rest} = this;
    this.rest = Buffer.alloc(0);
    return rest;
  }

  private noteId(event: Buffer): void {
    const id = ID_FIELD.exec(event.toString('latin1'))?.[1]?.trim();
    if (id) this.lastEventId = id;
  }
}
