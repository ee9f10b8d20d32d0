import type {IncomingHttpHeaders} from 'node:http';
import {findHeadFault} from '@vanillamux/shared';
import {errors, type Dispatcher} from 'undici';

/**
 * Passes a response on to `handler`. Fails one whose head is malformed, and one
 * whose connection was reset: the undici client takes a reset for the end of a
 * response without a length.
 */
export class ResponseCheck implements Dispatcher.DispatchHandler {
  constructor(
    private readonly handler: Dispatcher.DispatchHandler,
    private readonly wasReset: () => boolean = () => false,
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
    const fault = findHeadFault(status, headers, statusText);
    if (fault) return controller.abort(new Error(fault));
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
