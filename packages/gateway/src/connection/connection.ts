import {buildConnector, Client} from 'undici';

/**
 * Time within which a backend server has to accept a connection. Far above a
 * round trip in a region, and low enough for another try within the shortest
 * aimed time; a lost packet is sent again after a second only.
 */
const CONNECT_TIMEOUT_MS = 120;
/** Time for which an idle connection is kept, unless the peer says less. */
const IDLE_TIMEOUT_MS = 8_000;
/** Margin before the end that a peer states for an idle connection. */
const IDLE_MARGIN_MS = 1_000;
const MAX_HEADER_BYTES = 64 * 1_024;

/** One connection to a backend server, which carries one request at a time. */
export class Connection {
  readonly client: Client;
  private failed = false;

  /** `onClosed` runs when the connection has ended. */
  constructor(origin: string, onClosed: (connection: Connection) => void) {
    const connect = buildConnector({timeout: CONNECT_TIMEOUT_MS});
    this.client = new Client(origin, {
      pipelining: 1,
      connect: (options, callback) =>
        connect(options, (...result) => {
          // Registered before the client's own listener, which takes a reset
          // for the end of an answer that has no length.
          result[1]?.on('error', () => (this.failed = true));
          callback(...result);
        }),
      keepAliveTimeout: IDLE_TIMEOUT_MS,
      keepAliveTimeoutThreshold: IDLE_MARGIN_MS,
      headersTimeout: 0,
      bodyTimeout: 0,
      maxHeaderSize: MAX_HEADER_BYTES,
    });
    // A connection that the peer or a timeout has closed is not used again.
    this.client.on('disconnect', () => {
      onClosed(this);
      this.close();
    });
  }

  /** Whether the connection ended with an error, such as a reset. */
  get hasFailed(): boolean {
    return this.failed;
  }

  /** Whether it can carry another request. */
  get isOpen(): boolean {
    return !this.failed && !this.client.destroyed && !this.client.closed;
  }

  /** Closes the connection; a request on it fails. */
  close(): void {
    if (!this.client.destroyed) this.client.destroy(() => {});
  }
}
