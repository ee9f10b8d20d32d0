import {
  Server,
  type RequestListener,
  type ServerOptions,
  type ServerResponse,
} from 'node:http';
import type {Socket} from 'node:net';

/** State of one connection. */
interface ConnectionState {
  /** Responses that were not handed over to the system yet. */
  readonly pendingResponses: Set<ServerResponse>;
  /** Bytes that had been read when the last response was handed over. */
  bytesRead: number;
}

/**
 * HTTP server that closes a connection as idle only after its responses were
 * handed over to the system. Node's own server takes a connection for idle once
 * `end()` was called, and drops what a slow client has not taken yet.
 */
export class ClientServer extends Server {
  private readonly states = new Map<Socket, ConnectionState>();

  constructor(options: ServerOptions, listener: RequestListener) {
    super(options, listener);
    this.on('connection', socket => this.add(socket));
    this.on('request', (req, res) => this.track(req.socket, res));
  }

  /** Number of open connections. */
  get connectionCount(): number {
    return this.states.size;
  }

  /**
   * Closes the connections on which no request is in progress, also those that
   * had none yet: a request that arrives later is not read. Also called by
   * `close()`.
   */
  override closeIdleConnections(): void {
    for (const [socket, {pendingResponses, bytesRead}] of this.states) {
      // Bytes that were read since then belong to another request.
      const isIdle =
        pendingResponses.size === 0 && socket.bytesRead === bytesRead;
      if (isIdle) socket.destroy();
    }
  }

  /**
   * Resets the connections with a pending response that `isAffected`. A plain
   * close would end a response without framing as if it were complete.
   */
  resetConnections(isAffected: (res: ServerResponse) => boolean): void {
    for (const [socket, {pendingResponses}] of this.states) {
      if ([...pendingResponses].some(isAffected)) socket.resetAndDestroy();
    }
  }

  private track(socket: Socket, res: ServerResponse): void {
    const state = this.states.get(socket);
    if (!state) return;
    state.pendingResponses.add(res);
    res.once('close', () => {
      state.pendingResponses.delete(res);
      state.bytesRead = socket.bytesRead;
    });
  }

  private add(socket: Socket): void {
    this.states.set(socket, {pendingResponses: new Set(), bytesRead: 0});
    socket.once('close', () => this.states.delete(socket));
  }
}
