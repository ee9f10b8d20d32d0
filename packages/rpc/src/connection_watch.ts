import {connect, type NetConnectOpts, type Socket} from 'node:net';
import {monotonicMs} from '@vanillamux/shared';

/** Time in which a host that has accepted a connection opens its WebSocket. */
const HANDSHAKE_TIMEOUT_MS = 1_000;

/** What a connection had delivered at some time. */
export interface ConnectionMark {
  readonly socket?: Socket;
  readonly bytesRead: number;
}

/** Tells a slow host at the other end of a connection from a dead connection. */
export class ConnectionWatch {
  private socket?: Socket;
  private connectedMs?: number;

  /** Opens a connection, which takes the place of the one before. */
  connect(options: NetConnectOpts): Socket {
    const socket = connect(options);
    this.socket = socket;
    this.connectedMs = undefined;
    socket.once('connect', () => {
      if (this.socket === socket) this.connectedMs = monotonicMs();
    });
    return socket;
  }

  /**
   * Ends a connection on which the host has not opened the WebSocket, as closing
   * a WebSocket waits for that, which may never come.
   */
  endHandshake(): void {
    if (this.socket?.bytesRead === 0) this.socket.destroy();
  }

  /** Returns what the connection has delivered until now. */
  mark(): ConnectionMark {
    return {socket: this.socket, bytesRead: this.socket?.bytesRead ?? 0};
  }

  /** Whether the connection has delivered anything since, or is being opened. */
  isAlive(since: ConnectionMark): boolean {
    const {socket, connectedMs} = this;
    if (!socket || socket.destroyed || connectedMs === undefined) return false;
    if (socket.bytesRead === 0)
      return monotonicMs() - connectedMs < HANDSHAKE_TIMEOUT_MS;
    return socket !== since.socket || socket.bytesRead > since.bytesRead;
  }
}
