import type {ServerResponse} from 'node:http';
import {once} from 'node:events';
import type {ResponseHead} from '../connection/response_head.js';
import {isFramed} from '../connection/is_framed.js';
import {endToEndHeaders} from '../dialect/end_to_end_headers.js';

/** Writes the answer of a backend server to the client. */
export class ResponseWriter {
  /** Whether the client can tell the end of the answer from a break. */
  isFramed = true;

  constructor(
    private readonly res: ServerResponse,
    private readonly isDraining: () => boolean,
  ) {}

  /** Whether the client has the head of an answer. */
  get hasSentHead(): boolean {
    return this.res.headersSent;
  }

  /** Writes a whole answer. */
  writeComplete(head: ResponseHead, body: Buffer): void {
    const headers = this.prepareHeaders(head);
    if (this.isFramed) headers.push('Content-Length', String(body.length));
    this.res.writeHead(head.status, this.addConnectionHeader(headers));
    this.res.end(body);
  }

  /** Writes the head of an answer whose length is not known. */
  writeHead(head: ResponseHead): void {
    const headers = this.prepareHeaders(head);
    this.res.writeHead(head.status, this.addConnectionHeader(headers));
    this.res.flushHeaders();
  }

  /** Writes a part; waits while the client does not read. */
  async write(bytes: Buffer, signal: AbortSignal): Promise<void> {
    if (bytes.length === 0 || this.res.write(bytes)) return;
    // An abort ends the wait; the caller looks at the signal itself.
    await once(this.res, 'drain', {signal}).catch(() => undefined);
  }

  /** Ends the answer as complete. */
  end(): void {
    this.res.end();
  }

  /** Ends the answer so that it cannot be taken for complete. */
  abort(): void {
    this.res.destroy();
  }

  /**
   * An answer whose end the backend server does not mark is passed on the same
   * way: a mark of our own would vouch for an answer that may be cut short.
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
