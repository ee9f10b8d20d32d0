import type {Socket} from 'node:net';
import {pollIo, sleep, type Address} from '@vanillamux/shared';
import type {Backend} from '../fleet/backend.js';
import {ConnectionPool} from './connection_pool.js';
import {connectSocket} from './connect_socket.js';
import type {Exchange} from './exchange.js';
import type {ExchangeRequest} from './exchange_request.js';
import {ListenerState} from './listener_state.js';
import type {ResolveAddress} from './resolve_address.js';

/**
 * Time in which a connection that leads nowhere is reset: a round trip within a
 * region, and the delay of a busy host.
 */
const PROBE_HOLD_MS = 100;
const REFUSED_CODE = 'ECONNREFUSED';

/** Holds the connection pool of each backend server. */
export class ConnectionPools {
  private readonly pools = new Map<Backend, ConnectionPool>();

  constructor(
    private readonly resolve: ResolveAddress = unchanged => unchanged,
  ) {}

  /** The pool for one incarnation of a backend server. */
  poolFor(backend: Backend): ConnectionPool {
    let pool = this.pools.get(backend);
    if (!pool) {
      pool = new ConnectionPool(backend.presence.address, this.resolve);
      this.pools.set(backend, pool);
    }
    return pool;
  }

  /** Sends a request on a connection of its own, which is closed after it. */
  sendOnce(backend: Backend, request: ExchangeRequest): Exchange {
    const {address} = backend.presence;
    return new ConnectionPool(address, this.resolve).send(request, true);
  }

  /**
   * Whether a backend server accepts a connection and keeps it for a moment. No
   * request is sent on it.
   */
  async probe({presence}: Backend): Promise<boolean> {
    const socket = await this.connect(presence.address);
    if (socket instanceof Error) return false;
    const failed = new AbortController();
    if (socket.destroyed) failed.abort();
    for (const event of ['error', 'end', 'close'])
      socket.on(event, () => failed.abort());
    socket.resume();
    await sleep(PROBE_HOLD_MS, failed.signal);
    // What arrived while this host was busy is read first.
    await pollIo();
    const hasFailed = failed.signal.aborted;
    socket.destroy();
    return !hasFailed;
  }

  /**
   * Whether something listens at the address of a backend server. No request is
   * sent. The listener of a process that ends may outlive its other connections,
   * so that an accepted connection has to last for a moment.
   */
  async listenerState(backend: Backend): Promise<ListenerState> {
    if (await this.probe(backend)) return ListenerState.Listening;
    const socket = await this.connect(backend.presence.address);
    if (socket instanceof Error && socket.code === REFUSED_CODE)
      return ListenerState.Closed;
    if (!(socket instanceof Error)) socket.destroy();
    return ListenerState.Unclear;
  }

  /**
   * Removes the pool of an incarnation that has ended, and closes its idle
   * connections.
   */
  remove(backend: Backend): void {
    this.pools.get(backend)?.close();
    this.pools.delete(backend);
  }

  /** Closes all idle connections. */
  close(): void {
    for (const backend of this.pools.keys()) this.remove(backend);
  }

  private connect(address: Address): Promise<Socket | NodeJS.ErrnoException> {
    const {host: hostname, port} = this.resolve(address);
    const options = {hostname, port: String(port), protocol: 'http:'};
    return new Promise(resolve =>
      connectSocket(options, (error, socket) => resolve(error ?? socket!)),
    );
  }
}
