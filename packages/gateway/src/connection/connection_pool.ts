import type {Address} from '@vanillamux/shared';
import {Client} from 'undici';
import {Exchange} from './exchange.js';
import type {ExchangeRequest} from './exchange_request.js';

/** Time within which a backend server has to accept a connection. */
const CONNECT_TIMEOUT_MS = 800;
/** Time for which an idle connection is kept, unless the peer says less. */
const IDLE_TIMEOUT_MS = 8_000;
/** Margin before the end that a peer states for an idle connection. */
const IDLE_MARGIN_MS = 1_000;
/** Idle connections that are kept to one backend server. */
const MAX_IDLE = 8;
const MAX_HEADER_BYTES = 64 * 1_024;

/** Connections to one backend server; each carries one request at a time. */
export class ConnectionPool {
  private readonly origin: string;
  private readonly idle: Client[] = [];
  private isClosed = false;
  /** Connections opened since the start. */
  opened = 0;

  constructor({host, port}: Address) {
    this.origin = `http://${host}:${port}`;
  }

  /**
   * Sends a request. A connection that was idle may have been reset by the
   * peer in the meantime, so requests that must not be sent twice take a new
   * one with `fresh`.
   */
  send(request: ExchangeRequest, fresh = false): Exchange {
    const client = (fresh ? undefined : this.idle.pop()) ?? this.open();
    const exchange = new Exchange(() => this.giveBack(client));
    client.dispatch(
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
    for (const client of this.idle.splice(0)) discard(client);
  }

  private open(): Client {
    this.opened++;
    const client = new Client(this.origin, {
      pipelining: 1,
      connect: {timeout: CONNECT_TIMEOUT_MS},
      keepAliveTimeout: IDLE_TIMEOUT_MS,
      keepAliveTimeoutThreshold: IDLE_MARGIN_MS,
      headersTimeout: 0,
      bodyTimeout: 0,
      maxHeaderSize: MAX_HEADER_BYTES,
    });
    // A connection that the peer or a timeout has closed is not used again.
    client.on('disconnect', () => {
      const at = this.idle.indexOf(client);
      if (at >= 0) this.idle.splice(at, 1);
      discard(client);
    });
    return client;
  }

  private giveBack(client: Client): void {
    const isUsable = !client.destroyed && !client.closed;
    if (isUsable && !this.isClosed && this.idle.length < MAX_IDLE) {
      this.idle.push(client);
    } else {
      discard(client);
    }
  }
}

function discard(client: Client): void {
  if (!client.destroyed) client.destroy(() => {});
}
