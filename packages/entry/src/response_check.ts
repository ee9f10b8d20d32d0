import type {IncomingHttpHeaders} from 'node:http';
import {findHeadFault} from '@vanillamux/shared';
import {errors, type Dispatcher} from 'undici';

/**
 * Passes a response on to `handler`. Fails one whose head is malformed, and one
 * whose connection was reset: the undici client takes a reset for the end of a
 * response without a length.
 */
export class ResponseCheck implements Dispatcher.DispatchHandler {
  private controller?: Dispatcher.DispatchController;
  private wasReset = false;

  constructor(private readonly handler: Dispatcher.DispatchHandler) {}

  /** Called when the connection was reset, before the undici client reads it. */
  reset(): void {
    this.wasReset = true;
  }

  /**
   * Called at the end of the connection, before the undici client reads it, which
   * throws while it is paused.
   */
  resume(): void {
    if (this.controller?.paused) this.controller.resume();
  }

  onRequestStart(
    controller: Dispatcher.DispatchController,
    context: unknown,
  ): void {
    this.controller = controller;
    // What was reset before was an idle connection, which another one replaced.
    this.wasReset = false;
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
    // The parser of a resumed connection reports that it has no bytes.
    if (chunk.length > 0) this.handler.onResponseData?.(controller, chunk);
  }

  onResponseEnd(
    controller: Dispatcher.DispatchController,
    trailers: IncomingHttpHeaders,
  ): void {
    if (this.wasReset)
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
