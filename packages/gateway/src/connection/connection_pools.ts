import type {Backend} from '../fleet/backend.js';
import {ConnectionPool} from './connection_pool.js';

/** The connections to every backend server. */
export class ConnectionPools {
  private readonly pools = new Map<Backend, ConnectionPool>();

  /** Connections to one life of a backend server. */
  poolFor(backend: Backend): ConnectionPool {
    let pool = this.pools.get(backend);
    if (!pool) {
      pool = new ConnectionPool(backend.presence.address);
      this.pools.set(backend, pool);
    }
    return pool;
  }

  /** Closes the idle connections to a backend server that has ended. */
  remove(backend: Backend): void {
    this.pools.get(backend)?.close();
    this.pools.delete(backend);
  }

  /** Closes all idle connections. */
  close(): void {
    for (const backend of this.pools.keys()) this.remove(backend);
  }
}
