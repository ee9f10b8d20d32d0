import {createServer, connect, type AddressInfo, type Server} from 'node:net';
import type {Socket} from 'node:net';
import type {Address} from '@vanillamux/shared';

const LOOPBACK = '127.0.0.1';
const ORIGIN = /[?&]from=([^&\s]+)/;

/** A connection that the relay carries. */
interface Flow {
  readonly caller: Socket;
  readonly target: Socket;
  origin: string;
  isSilent: boolean;
}

/**
 * Carries TCP connections to a process and can lose them as a broken network
 * does: bytes vanish, and neither end is told.
 */
export class TcpRelay {
  /** Bytes carried towards the target and back. */
  bytes = 0;
  private readonly flows = new Set<Flow>();
  /** Ends of lost flows outlive their flow, as their peer is never told. */
  private readonly sockets = new Set<Socket>();
  private readonly cutOrigins = new Set<string>();
  private isCut = false;

  private constructor(
    private readonly target: Address,
    private readonly server: Server,
  ) {
    server.on('connection', socket => this.carry(socket));
  }

  /** Listens on a port of loopback. */
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

  /** Loses every connection that is open now; new ones work. */
  silenceOpenFlows(): void {
    for (const flow of this.flows) flow.isSilent = true;
  }

  /** Loses every connection, open and new, of all or of one caller. */
  cut(origin?: string): void {
    if (origin === undefined) this.isCut = true;
    else this.cutOrigins.add(origin);
  }

  /** Carries connections again. What was lost stays lost. */
  heal(): void {
    for (const flow of this.flows) {
      if (this.isLost(flow)) flow.isSilent = true;
    }
    this.isCut = false;
    this.cutOrigins.clear();
  }

  close(): void {
    this.server.close();
    for (const socket of this.sockets) socket.destroy();
  }

  private carry(caller: Socket): void {
    const target = connect(this.target.port, this.target.host);
    const flow: Flow = {caller, target, origin: '', isSilent: false};
    this.flows.add(flow);
    caller.on('data', bytes => {
      if (flow.origin === '') {
        flow.origin = ORIGIN.exec(bytes.toString('latin1'))?.[1] ?? '-';
      }
      this.pass(flow, bytes, target);
    });
    target.on('data', bytes => this.pass(flow, bytes, caller));
    for (const [end, other] of [
      [caller, target],
      [target, caller],
    ] as const) {
      this.sockets.add(end);
      end.setNoDelay(true);
      end.on('error', () => end.destroy());
      end.on('close', () => {
        this.sockets.delete(end);
        this.flows.delete(flow);
        if (!this.isLost(flow)) other.destroy();
      });
    }
  }

  private pass(flow: Flow, bytes: Buffer, to: Socket): void {
    if (this.isLost(flow)) return;
    this.bytes += bytes.length;
    to.write(bytes);
  }

  private isLost({origin, isSilent}: Flow): boolean {
    return isSilent || this.isCut || this.cutOrigins.has(origin);
  }
}
