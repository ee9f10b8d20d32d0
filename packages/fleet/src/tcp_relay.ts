import {createServer, connect, type AddressInfo, type Server} from 'node:net';
import type {Socket} from 'node:net';
import type {Address} from '@vanillamux/shared';

const LOOPBACK = '127.0.0.1';
const SOURCE_HOST_PATTERN = /[?&]from=([^&\s]+)/;

/** Client connection with the connection that it is relayed to. */
interface RelayedConnection {
  readonly clientSocket: Socket;
  readonly targetSocket: Socket;
  sourceHostId: string;
  isBlackholed: boolean;
}

/**
 * Relays TCP connections to a process and can blackhole them like a failed
 * network path: bytes are dropped, and neither end is notified.
 */
export class TcpRelay {
  /** Bytes forwarded in both directions. */
  forwardedBytes = 0;
  private readonly connections = new Set<RelayedConnection>();
  /**
   * Every open socket. A socket of a blackholed connection stays open after its
   * peer has closed, because the relay doesn't pass on the close.
   */
  private readonly sockets = new Set<Socket>();
  private readonly blackholedSources = new Set<string>();
  private blackholesAll = false;

  private constructor(
    private readonly target: Address,
    private readonly server: Server,
  ) {
    server.on('connection', socket => this.relayConnection(socket));
  }

  /** Listens on a loopback port; 0 picks a free one. */
  static async start(target: Address, port = 0): Promise<TcpRelay> {
    const server = createServer();
    const relay = new TcpRelay(target, server);
    await new Promise<void>(resolve => server.listen(port, LOOPBACK, resolve));
    return relay;
  }

  get address(): Address {
    const {port} = this.server.address() as AddressInfo;
    return {host: LOOPBACK, port};
  }

  /** Blackholes every open connection; new connections work. */
  blackholeOpenConnections(): void {
    for (const connection of this.connections) connection.isBlackholed = true;
  }

  /**
   * Blackholes open and new connections, either all of them or those from one
   * host.
   */
  blackhole(sourceHostId?: string): void {
    if (sourceHostId === undefined) this.blackholesAll = true;
    else this.blackholedSources.add(sourceHostId);
  }

  /**
   * Forwards new connections again. Connections that were blackholed stay
   * blackholed.
   */
  restore(): void {
    for (const connection of this.connections) {
      if (this.dropsBytes(connection)) connection.isBlackholed = true;
    }
    this.blackholesAll = false;
    this.blackholedSources.clear();
  }

  close(): void {
    this.server.close();
    for (const socket of this.sockets) socket.destroy();
  }

  private relayConnection(clientSocket: Socket): void {
    const targetSocket = connect(this.target.port, this.target.host);
    const connection: RelayedConnection = {
      clientSocket,
      targetSocket,
      sourceHostId: '',
      isBlackholed: false,
    };
    this.connections.add(connection);
    clientSocket.on('data', bytes => {
      if (connection.sourceHostId === '') {
        connection.sourceHostId =
          SOURCE_HOST_PATTERN.exec(bytes.toString('latin1'))?.[1] ?? '-';
      }
      this.forward(connection, bytes, targetSocket);
    });
    targetSocket.on('data', bytes =>
      this.forward(connection, bytes, clientSocket),
    );
    for (const [socket, peerSocket] of [
      [clientSocket, targetSocket],
      [targetSocket, clientSocket],
    ] as const) {
      this.sockets.add(socket);
      socket.setNoDelay(true);
      socket.on('error', () => socket.destroy());
      socket.on('close', () => {
        this.sockets.delete(socket);
        this.connections.delete(connection);
        if (!this.dropsBytes(connection)) peerSocket.destroy();
      });
    }
  }

  private forward(
    connection: RelayedConnection,
    bytes: Buffer,
    destination: Socket,
  ): void {
    if (this.dropsBytes(connection)) return;
    this.forwardedBytes += bytes.length;
    destination.write(bytes);
  }

  private dropsBytes({sourceHostId, isBlackholed}: RelayedConnection): boolean {
    return (
      isBlackholed ||
      this.blackholesAll ||
      this.blackholedSources.has(sourceHostId)
    );
  }
}
