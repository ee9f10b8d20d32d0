import type {IncomingHttpHeaders} from 'node:http';
import {Deferred, fail, succeed, type Result} from '@vanillamux/shared';
import type {Dispatcher} from 'undici';
import type {AnswerHead} from './answer_head.js';
import type {Connection} from './connection.js';
import {ExchangeFault} from './exchange_fault.js';

/** Buffered bytes above which reading from the connection is paused. */
const MAX_WAITING_BYTES = 256 * 1_024;
const CONNECT_TIMEOUT_CODE = 'UND_ERR_CONNECT_TIMEOUT';

/** One request and its response on one connection to a backend server. */
export class Exchange implements Dispatcher.DispatchHandler {
  private readonly headArrived = new Deferred<
    Result<AnswerHead, ExchangeFault>
  >();
  private controller?: Dispatcher.DispatchController;
  private chunks: Buffer[] = [];
  private waitingBytes = 0;
  private news = new Deferred<void>();
  private fault?: ExchangeFault;
  private isEnded = false;
  private wasSent = false;
  private cancelReason?: Error;

  /** `onReusable` is called once the connection can carry another request. */
  constructor(
    private readonly connection: Connection,
    private readonly onFree: () => void,
  ) {}

  /** Resolves to the response head, or to the error that prevented it. */
  head(): Promise<Result<AnswerHead, ExchangeFault>> {
    return this.headArrived.promise;
  }

  /**
   * Reads the next bytes of the body; `undefined` marks its end. Fails when the
   * response is incomplete.
   */
  async read(): Promise<Result<Buffer | undefined, ExchangeFault>> {
    while (this.chunks.length === 0) {
      if (this.fault) return fail(this.fault);
      if (this.isEnded) return succeed(undefined);
      await this.news.promise;
      this.news = new Deferred<void>();
    }
    const bytes =
      this.chunks.length === 1 ? this.chunks[0] : Buffer.concat(this.chunks);
    this.chunks = [];
    this.waitingBytes = 0;
    if (this.controller?.paused) this.controller.resume();
    return succeed(bytes);
  }

  /** Resets the connection unless the response is complete. */
  cancel(reason: string): void {
    if (this.isEnded || this.fault) return;
    this.cancelReason = new Error(reason);
    this.controller?.abort(this.cancelReason);
    this.end(reason);
  }

  onRequestStart(controller: Dispatcher.DispatchController): void {
    this.controller = controller;
    if (this.cancelReason) controller.abort(this.cancelReason);
    // The undici client must not send the same request twice.
    else if (this.wasSent) controller.abort(new Error('sent twice'));
    else this.wasSent = true;
  }

  onResponseStart(
    controller: Dispatcher.DispatchController,
    status: number,
    headers: IncomingHttpHeaders,
  ): void {
    if (status < 200) return;
    const rawHeaders = toText(controller.rawHeaders);
    this.headArrived.resolve(succeed({status, headers, rawHeaders}));
  }

  onResponseData(
    controller: Dispatcher.DispatchController,
    chunk: Buffer,
  ): void {
    this.chunks.push(chunk);
    this.waitingBytes += chunk.length;
    if (this.waitingBytes > MAX_WAITING_BYTES) controller.pause();
    this.news.resolve();
  }

  onResponseEnd(): void {
    if (this.connection.hasFailed) return this.end('connection reset');
    this.isEnded = true;
    this.news.resolve();
    // The undici client updates its own state in this turn of the event loop.
    setImmediate(this.onFree);
  }

  onResponseError(
    _controller: Dispatcher.DispatchController,
    error: Error,
  ): void {
    const {code} = error as NodeJS.ErrnoException;
    this.end(error.message, code === CONNECT_TIMEOUT_CODE);
  }

  private end(reason: string, isUnreachable = false): void {
    this.fault ??= new ExchangeFault(this.wasSent, reason, isUnreachable);
    this.headArrived.resolve(fail(this.fault));
    this.news.resolve();
  }
}

function toText(
  raw: Dispatcher.DispatchController['rawHeaders'],
): readonly string[] {
  if (!Array.isArray(raw)) return [];
  return raw.map(item =>
    typeof item === 'string' ? item : item.toString('latin1'),
  );
}
