import {onReset, type Address} from '@vanillamux/shared';
import {Client, type Dispatcher} from 'undici';
import {createLimitedConnector} from './create_limited_connector.js';
import {ResponseCheck} from './response_check.js';

const CONNECT_TIMEOUT_MS = 1_000;

/** Connection to a plain service for one call. */
export class ServiceConnection {
  readonly dispatcher: Dispatcher;
  private readonly client: Client;
  private wasReset = false;
  private check?: ResponseCheck;

  constructor({host, port}: Address) {
    const connect = createLimitedConnector(CONNECT_TIMEOUT_MS);
    this.client = new Client(`http://${host}:${port}`, {
      connect: (options, callback) =>
        connect(options, (...result) => {
          const [, socket] = result;
          if (socket) onReset(socket, () => (this.wasReset = true));
          socket?.on('end', () => this.check?.resume());
          callback(...result);
        }),
      headersTimeout: 0,
      bodyTimeout: 0,
    });
    this.dispatcher = this.client.compose(dispatch => (options, handler) => {
      this.check = new ResponseCheck(handler, () => this.wasReset);
      return dispatch(options, this.check);
    });
  }

  /** Closes the connection; a call on it fails. */
  async close(): Promise<void> {
    await this.client.destroy();
  }
}
