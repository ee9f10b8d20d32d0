import type {ServerResponse} from 'node:http';
import {once} from 'node:events';
import type {ResponseHead} from '../connection/response_head.js';
import {isFramed} from '../connection/is_framed.js';
import {endToEndHeaders} from '../dialect/end_to_end_headers.js';

/** Time in which a client may read what was written before an abort. */
const FLUSH_TIMEOUT_MS = 500;
/**
 * Delay before a reset, which discards what the client has not read. Several
 * round trips within a region.
 */
const RESET_DELAY_MS = 20;

/** Writes the response of a backend server to the client. */
export class ResponseWriter {
  /** Whether the client can tell a complete response from a truncated one. */
  isFramed = true;

  constructor(
    private readonly res: ServerResponse,
    private readonly isDraining: () => boolean,
  ) {}

  /** Whether the response head was written. */
  get hasSentHead(): boolean {
    return this.res.headersSent;
  }

  /** Writes a complete response. */
  writeComplete(head: ResponseHead, body: Buffer): void {
    const headers = this.prepareHeaders(head);
    if (this.isFramed) headers.push('Content-Length', String(body.length));
    this.res.writeHead(head.status, this.addConnectionHeader(headers));
    this.res.end(body);
  }

  /** Writes the head of a response whose length is not known. */
  writeHead(head: ResponseHead): void {
    const headers = this.prepareHeaders(head);
    this.res.writeHead(head.status, this.addConnectionHeader(headers));
    this.res.flushHeaders();
  }

  /** Writes bytes of the body; waits while the client's buffer is full. */
  async write(bytes: Buffer, signal: AbortSignal): Promise<void> {
    if (bytes.length === 0 || this.res.write(bytes)) return;
    // An abort only ends the wait; the caller checks the signal.
    await once(this.res, 'drain', {signal}).catch(() => undefined);
  }

  /** Ends the body; the client sees a complete response. */
  end(): void {
    this.res.end();
  }

  /**
   * Closes the connection so that the response does not look complete, after
   * what was written before has been sent. A response without framing is reset,
   * because a normal end would make it look complete.
   */
  abort(): void {
    const {socket} = this.res;
    if (!socket || socket.destroyed) return;
    const timer = this.isFramed
      ? setTimeout(() => socket.destroy(), FLUSH_TIMEOUT_MS)
      : setTimeout(() => socket.resetAndDestroy(), RESET_DELAY_MS);
    socket.once('close', () => clearTimeout(timer));
    if (this.isFramed) socket.destroySoon();
  }

  /**
   * Prepares the end-to-end headers. A response that only the connection's end
   * delimits stays without framing: added framing would make a truncated
   * response look complete.
   */
  private prepareHeaders(head: ResponseHead): string[] {
    this.isFramed = isFramed(head);
    if (!this.isFramed) {
      this.res.removeHeader('Transfer-Encoding');
      this.res.shouldKeepAlive = false;
    }
    return endToEndHeaders(head.rawHeaders);
  }

  private addConnectionHeader(headers: string[]): string[] {
    if (this.isDraining() || !this.isFramed)
      headers.push('Connection', 'close');
    return headers;
  }
}
