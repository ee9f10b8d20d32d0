import type {IncomingHttpHeaders} from 'node:http';
import {
  Deferred,
  fail,
  findHeadFault,
  succeed,
  type Result,
} from '@vanillamux/shared';
import type {Dispatcher} from 'undici';
import type {ResponseHead} from './response_head.js';
import type {Connection} from './connection.js';
import {ExchangeError, type ExchangeErrorOptions} from './exchange_error.js';

/** Buffered bytes above which reading from the connection is paused. */
const MAX_BUFFERED_BYTES = 256 * 1_024;
/** Largest body that is kept whole; twice that of the largest request. */
const MAX_BODY_BYTES = 8 * 1_024 * 1_024;
/** Limit of bytes outside the body: a head and trailers of the largest size. */
const MAX_FRAMING_BYTES = 128 * 1_024;
/** Additional framing per byte of the body; a chunk of one byte has five. */
const MAX_FRAMING_PER_BODY_BYTE = 8;
const CONNECT_TIMEOUT_CODE = 'ETIMEDOUT';
/** Name of the undici client's errors that its parser has raised. */
const PARSER_ERROR = 'HTTPParserError';
/** Errors of a connection that its peer has closed or reset. */
const DISCONNECT_CODES = new Set(['UND_ERR_SOCKET', 'ECONNRESET', 'EPIPE']);

/** What an exchange needs of its connection. */
export type ExchangeConnection = Pick<
  Connection,
  'hasFailed' | 'onReadable' | 'onEnd' | 'parsedBytes' | 'close'
>;

/** One request and its response on one connection to a backend server. */
export class Exchange implements Dispatcher.DispatchHandler {
  private readonly responseHead = new Deferred<
    Result<ResponseHead, ExchangeError>
  >();
  private controller?: Dispatcher.DispatchController;
  private chunks: Buffer[] = [];
  private bufferedBytes = 0;
  private bodyBytes = 0;
  private maxBodyBytes = Infinity;
  /** Bytes that were parsed on the connection before this exchange. */
  private earlierBytes = 0;
  private stateChanged = new Deferred<void>();
  private error?: ExchangeError;
  private isComplete = false;
  private wasSent = false;
  private cancelReason?: Error;

  /** `onReusable` is called once the connection can carry another request. */
  constructor(
    private readonly connection: ExchangeConnection,
    private readonly onReusable: () => void,
  ) {
    connection.onReadable = () => this.checkFramingSize();
    // The undici client throws when a connection ends while it is paused.
    connection.onEnd = () => this.resume();
  }

  /** Resolves to the response head, or to the error that prevented it. */
  head(): Promise<Result<ResponseHead, ExchangeError>> {
    return this.responseHead.promise;
  }

  /**
   * Reads the next bytes of the body; `undefined` marks its end. Fails when the
   * response is incomplete.
   */
  async read(): Promise<Result<Buffer | undefined, ExchangeError>> {
    while (this.chunks.length === 0) {
      if (this.error) return fail(this.error);
      if (this.isComplete) return succeed(undefined);
      await this.stateChanged.promise;
      this.stateChanged = new Deferred<void>();
    }
    const bytes =
      this.chunks.length === 1 ? this.chunks[0] : Buffer.concat(this.chunks);
    this.chunks = [];
    this.bufferedBytes = 0;
    this.resume();
    return succeed(bytes);
  }

  /** Fails the exchange when its body is larger than may be kept whole. */
  limitBody(): void {
    this.maxBodyBytes = MAX_BODY_BYTES;
    this.checkBodySize();
  }

  /** Resets the connection unless the response is complete. */
  cancel(reason: string, options?: ExchangeErrorOptions): void {
    if (this.isComplete || this.error) return;
    this.cancelReason = new Error(reason);
    // Aborting reports an error of its own.
    this.failWith(reason, options);
    this.controller?.abort(this.cancelReason);
  }

  onRequestStart(controller: Dispatcher.DispatchController): void {
    this.controller = controller;
    this.earlierBytes = this.connection.parsedBytes;
    if (this.cancelReason) controller.abort(this.cancelReason);
    // The undici client must not send the same request twice.
    else if (this.wasSent) controller.abort(new Error('sent twice'));
    else this.wasSent = true;
  }

  onResponseStart(
    controller: Dispatcher.DispatchController,
    status: number,
    headers: IncomingHttpHeaders,
    reasonPhrase?: string,
  ): void {
    if (status >= 100 && status < 200) return;
    const fault = findHeadFault(status, headers, reasonPhrase);
    if (fault) return this.cancel(fault, {hasAnswered: true});
    const rawHeaders = decodeRawHeaders(controller.rawHeaders);
    this.responseHead.resolve(succeed({status, headers, rawHeaders}));
  }

  onResponseData(
    controller: Dispatcher.DispatchController,
    chunk: Buffer,
  ): void {
    // The parser of a resumed connection reports that it has no bytes.
    if (chunk.length === 0) return;
    this.chunks.push(chunk);
    this.bufferedBytes += chunk.length;
    this.bodyBytes += chunk.length;
    if (this.bufferedBytes > MAX_BUFFERED_BYTES) controller.pause();
    this.stateChanged.resolve();
    this.checkBodySize();
  }

  onResponseEnd(): void {
    if (this.connection.hasFailed)
      return this.failWith('connection reset', {isDisconnect: true});
    this.isComplete = true;
    this.stateChanged.resolve();
    // The undici client updates its own state in this turn of the event loop.
    setImmediate(this.onReusable);
  }

  onResponseError(
    _controller: Dispatcher.DispatchController,
    error: Error,
  ): void {
    const {code} = error as NodeJS.ErrnoException;
    this.failWith(error.message, {
      isConnectTimeout: code === CONNECT_TIMEOUT_CODE,
      isDisconnect: code !== undefined && DISCONNECT_CODES.has(code),
      hasAnswered: error.name === PARSER_ERROR,
    });
  }

  private resume(): void {
    if (this.controller?.paused) this.controller.resume();
  }

  private checkBodySize(): void {
    const {bodyBytes, maxBodyBytes} = this;
    if (bodyBytes > maxBodyBytes)
      this.cancel(`a body of more than ${maxBodyBytes} bytes`);
  }

  /**
   * Closes the connection when the bytes outside the body exceed their limit.
   * The undici client bounds the names and values of header fields, and nothing
   * else of a head, a chunk's size line or the trailers.
   */
  private checkFramingSize(): void {
    const framingBytes =
      this.connection.parsedBytes - this.earlierBytes - this.bodyBytes;
    const maxBytes =
      MAX_FRAMING_BYTES + MAX_FRAMING_PER_BODY_BYTE * this.bodyBytes;
    if (framingBytes <= maxBytes) return;
    this.cancel(`more than ${maxBytes} bytes outside the body`);
    this.connection.close();
  }

  private failWith(reason: string, options?: ExchangeErrorOptions): void {
    this.error ??= new ExchangeError(this.wasSent, reason, options);
    this.responseHead.resolve(fail(this.error));
    this.stateChanged.resolve();
  }
}

function decodeRawHeaders(
  raw: Dispatcher.DispatchController['rawHeaders'],
): readonly string[] {
  if (!Array.isArray(raw)) return [];
  return raw.map(item =>
    typeof item === 'string' ? item : item.toString('latin1'),
  );
}
