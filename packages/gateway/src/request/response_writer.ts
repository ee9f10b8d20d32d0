import type {ServerResponse} from 'node:http';
import {once} from 'node:events';
import {hasBody} from '@vanillamux/shared';
import type {ResponseHead} from '../connection/response_head.js';
import {endToEndHeaders} from '../dialect/end_to_end_headers.js';
import type {ReceivedBody} from './received_body.js';

/** Time in which a client may read what was written before an abort. */
const FLUSH_TIMEOUT_MS = 500;
/**
 * Delay before a reset, which discards what the client has not read. Several
 * round trips within a region.
 */
const RESET_DELAY_MS = 20;
/** Writes the response of a backend server to the client. */
export class ResponseWriter {
  constructor(private readonly res: ServerResponse) {}

  /** Whether the response head was written. */
  get hasSentHead(): boolean {
    return this.res.headersSent;
  }

  /**
   * Writes a response that was received to its end. Only a body that is known to
   * be whole gets a length: a length would make a part look complete.
   */
  writeComplete(
    head: ResponseHead,
    {bytes, isProvenWhole}: ReceivedBody,
  ): void {
    const headers = endToEndHeaders(head.rawHeaders);
    const mayHaveBody = hasBody(this.res.req.method, head.status);
    const isDelimited = !mayHaveBody || isProvenWhole;
    if (mayHaveBody && isDelimited)
      headers.push('Content-Length', String(bytes.length));
    if (!isDelimited) {
      this.res.removeHeader('Transfer-Encoding');
      this.res.shouldKeepAlive = false;
    }
    this.res.writeHead(
      head.status,
      this.addConnectionHeader(headers, isDelimited),
    );
    this.res.end(bytes);
  }

  /**
   * Writes the head of a response whose length is not known. The body is sent in
   * chunks, also if the backend server's response is delimited by the end of its
   * connection: when this process is killed, the system closes the client's
   * connection in the same way.
   */
  writeHead(head: ResponseHead): void {
    const headers = endToEndHeaders(head.rawHeaders);
    const {supportsChunks} = this;
    if (!supportsChunks) this.res.shouldKeepAlive = false;
    this.res.writeHead(
      head.status,
      this.addConnectionHeader(headers, supportsChunks),
    );
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
   * what was written before has been sent. Without chunks it is reset, because a
   * normal end would make the response look complete.
   */
  abort(): void {
    const {socket} = this.res;
    if (!socket || socket.destroyed) return;
    const {supportsChunks} = this;
    const timer = supportsChunks
      ? setTimeout(() => socket.destroy(), FLUSH_TIMEOUT_MS)
      : setTimeout(() => socket.resetAndDestroy(), RESET_DELAY_MS);
    socket.once('close', () => clearTimeout(timer));
    if (supportsChunks) socket.destroySoon();
  }

  /** Whether the client can tell a truncated body from a complete one. */
  private get supportsChunks(): boolean {
    const {httpVersionMajor, httpVersionMinor} = this.res.req;
    return httpVersionMajor > 1 || httpVersionMinor >= 1;
  }

  private addConnectionHeader(headers: string[], isFramed: boolean): string[] {
    if (!isFramed) headers.push('Connection', 'close');
    return headers;
  }
}
