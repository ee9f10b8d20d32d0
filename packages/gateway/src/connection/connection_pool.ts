import type {Address} from '@vanillamux/shared';
import {Connection} from './connection.js';
import {Exchange} from './exchange.js';
import type {ExchangeRequest} from './exchange_request.js';

/** Idle connections that are kept to one backend server. */
const MAX_IDLE_CONNECTIONS = 8;

/** Connections to one backend server; each carries one request at a time. */
export class ConnectionPool {
  private readonly origin: string;
  private readonly idle: Connection[] = [];
  private isClosed = false;

  constructor({host, port}: Address) {
    this.origin = `http://${host}:${port}`;
  }

  /**
   * Sends a request. A connection that was idle may have been reset or
   * silenced in the meantime, which shows only after the request has left; a
   * `fresh` one shows it before. It is closed afterwards.
   */
  send(request: ExchangeRequest, useNewConnection = false): Exchange {
    const connection =
      (useNewConnection ? undefined : this.idle.pop()) ?? this.open();
    const exchange = new Exchange(connection, () =>
      useNewConnection ? connection.close() : this.release(connection),
    );
    connection.client.dispatch(
      {
        method: request.method,
        path: request.path,
        headers: request.headers,
        body: request.body ?? null,
      },
      exchange,
    );
    return exchange;
  }

  /** Closes idle connections; requests that run end as they will. */
  close(): void {
    this.isClosed = true;
    for (const connection of this.idle.splice(0)) connection.close();
  }

  private open(): Connection {
    return new Connection(this.origin, connection => {
      const index = this.idle.indexOf(connection);
      if (index >= 0) this.idle.splice(index, 1);
    });
  }

  private release(connection: Connection): void {
    const hasCapacity =
      !this.isClosed && this.idle.length < MAX_IDLE_CONNECTIONS;
    if (hasCapacity && connection.isOpen) this.idle.push(connection);
    else connection.close();
  }
}
