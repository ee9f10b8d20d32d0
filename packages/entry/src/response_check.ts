import type {IncomingHttpHeaders} from 'node:http';
import {errors, type Dispatcher} from 'undici';

/**
 * Passes a response on to `handler`, and fails one whose connection was reset:
 * the undici client takes a reset for the end of a response without a length.
 */
export class ResponseCheck implements Dispatcher.DispatchHandler {
  constructor(
    private readonly handler: Dispatcher.DispatchHandler,
    private readonly wasReset: () => boolean,
  ) {}

  onRequestStart(
    controller: Dispatcher.DispatchController,
    context: unknown,
  ): void {
    this.handler.onRequestStart?.(controller, context);
  }

  onResponseStart(
    controller: Dispatcher.DispatchController,
    status: number,
    headers: IncomingHttpHeaders,
    statusText?: string,
  ): void {
    this.handler.onResponseStart?.(controller, status, headers, statusText);
  }

  onResponseData(
    controller: Dispatcher.DispatchController,
    chunk: Buffer,
  ): void {
    this.handler.onResponseData?.(controller, chunk);
  }

  onResponseEnd(
    controller: Dispatcher.DispatchController,
    trailers: IncomingHttpHeaders,
  ): void {
    if (this.wasReset())
      this.onResponseError(controller, new errors.SocketError('reset'));
    else this.handler.onResponseEnd?.(controller, trailers);
  }

  onResponseError(
    controller: Dispatcher.DispatchController,
    error: Error,
  ): void {
    this.handler.onResponseError?.(controller, error);
  }
}
