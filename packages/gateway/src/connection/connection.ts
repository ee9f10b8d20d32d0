import type {Socket} from 'node:net';
import {checkProtocol, onReset} from '@vanillamux/shared';
import {Client} from 'undici';
import {connectSocket} from './connect_socket.js';

/** Idle timeout of a connection, unless the peer announces one. */
const IDLE_TIMEOUT_MS = 8_000;
/** Subtracted from the idle timeout that a peer announces. */
const IDLE_MARGIN_MS = 1_000;
const MAX_HEADER_BYTES = 64 * 1_024;

/** One connection to a backend server, which carries one request at a time. */
export class Connection {
  readonly client: Client;
  /** Called when bytes have arrived, before they are parsed. */
  onReadable: () => void = () => {};
  /** Called when the peer has ended the connection, after its last bytes. */
  onEnd: () => void = () => {};
  private socket?: Socket;
  private failed = false;

  /** `onClosed` is called when the connection has been closed. */
  constructor(origin: string, onClosed: (connection: Connection) => void) {
    this.client = new Client(origin, {
      pipelining: 1,
      connect: (options, callback) =>
        connectSocket(options, (...result) => {
          const [, socket] = result;
          this.socket = socket ?? undefined;
          if (socket) checkProtocol(socket);
          // Registered before undici's own listeners, which treat a reset as
          // the end of a response that has no length.
          if (socket) onReset(socket, () => (this.failed = true));
          socket?.on('readable', () => this.onReadable());
          socket?.on('end', () => this.onEnd());
          callback(...result);
        }),
      keepAliveTimeout: IDLE_TIMEOUT_MS,
      keepAliveTimeoutThreshold: IDLE_MARGIN_MS,
      headersTimeout: 0,
      bodyTimeout: 0,
      maxHeaderSize: MAX_HEADER_BYTES,
    });
    // A connection that the peer or a timeout has closed is not reused.
    this.client.on('disconnect', () => {
      onClosed(this);
      this.close();
    });
  }

  /** Whether the connection ended by an error or a reset. */
  get hasFailed(): boolean {
    return this.failed;
  }

  /** Number of bytes received and parsed since the connection was opened. */
  get parsedBytes(): number {
    if (!this.socket) return 0;
    return this.socket.bytesRead - this.socket.readableLength;
  }

  /** Whether the connection can carry another request. */
  get isOpen(): boolean {
    return !this.failed && !this.client.destroyed && !this.client.closed;
  }

  /** Closes the connection; a request on it fails. */
  close(): void {
    if (!this.client.destroyed) this.client.destroy(() => {});
  }
}
