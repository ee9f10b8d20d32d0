import {checkProtocol, onReset} from '@vanillamux/shared';
import {Client, type Dispatcher} from 'undici';
import type {CheckedDispatchOptions} from './checked_dispatch_options.js';
import {createLimitedConnector} from './create_limited_connector.js';
import type {ResponseCheck} from './response_check.js';

const CONNECT_TIMEOUT_MS = 1_000;

/**
 * Connection to a backend server with one call at a time. Tells the
 * `ResponseCheck` of the call how the connection ends.
 */
export class CheckedClient extends Client {
  private check?: ResponseCheck;

  constructor(origin: URL | string, options: Client.Options = {}) {
    const connect = createLimitedConnector(CONNECT_TIMEOUT_MS);
    super(origin, {
      ...options,
      pipelining: 1,
      connect: (connectOptions, callback) =>
        connect(connectOptions, (...result) => {
          const [, socket] = result;
          if (socket) checkProtocol(socket);
          if (socket) onReset(socket, () => this.check?.reset());
          socket?.on('end', () => this.check?.resume());
          callback(...result);
        }),
      // The caller's signal bounds a call; reads of frames have their own timeout.
      headersTimeout: 0,
      bodyTimeout: 0,
    });
  }

  override dispatch(
    options: CheckedDispatchOptions,
    handler: Dispatcher.DispatchHandler,
  ): boolean {
    this.check = options.check;
    return super.dispatch(options, handler);
  }
}
