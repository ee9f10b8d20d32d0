import type {Backend} from '../fleet/backend.js';
import {ConnectionPool} from './connection_pool.js';
import type {Connector} from './connector.js';

/** Holds the connection pool of each backend server. */
export class ConnectionPools {
  private readonly pools = new Map<Backend, ConnectionPool>();

  /** `connect` opens sockets, those of undici by default. */
  constructor(private readonly connect?: Connector) {}

  /** The pool for one incarnation of a backend server. */
  poolFor(backend: Backend): ConnectionPool {
    let pool = this.pools.get(backend);
    if (!pool) {
      pool = new ConnectionPool(backend.presence.address, this.connect);
      this.pools.set(backend, pool);
    }
    return pool;
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
}
