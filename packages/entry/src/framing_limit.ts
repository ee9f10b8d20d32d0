import type {Socket} from 'node:net';

/** Limit of bytes outside the body: a head and trailers of the largest size. */
const MAX_FRAMING_BYTES = 128 * 1_024;
/** Additional framing per byte of the body; a chunk of one byte has five. */
const MAX_FRAMING_PER_BODY_BYTE = 8;

/**
 * Closes a connection when the bytes of a response outside its body exceed
 * their limit. The undici client bounds the names and values of header fields,
 * and nothing else of a head, a chunk's size line or the trailers.
 */
export class FramingLimit {
  private earlierBytes = 0;
  private bodyBytes = 0;

  constructor(private readonly socket: Socket) {
    socket.on('readable', () => this.check());
  }

  /** Starts to count for the response to a request that is being sent. */
  startResponse(): void {
    this.earlierBytes = this.parsedBytes;
    this.bodyBytes = 0;
  }

  /** Counts bytes of the response's body. */
  addBodyBytes(count: number): void {
    this.bodyBytes += count;
  }

  private get parsedBytes(): number {
    return this.socket.bytesRead - this.socket.readableLength;
  }

  private check(): void {
    const {parsedBytes, earlierBytes, bodyBytes, socket} = this;
    const framingBytes = parsedBytes - earlierBytes - bodyBytes;
    const maxBytes = MAX_FRAMING_BYTES + MAX_FRAMING_PER_BODY_BYTE * bodyBytes;
    if (framingBytes > maxBytes)
      socket.destroy(new Error(`more than ${maxBytes} bytes outside the body`));
  }
}
