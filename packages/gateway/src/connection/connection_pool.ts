import {
  ErrorCodes,
  fail,
  succeed,
  VmuxError,
  type Address,
  type Result,
} from '@vanillamux/shared';
import {Connection} from './connection.js';
import type {ResolveAddress} from './resolve_address.js';
import {Exchange} from './exchange.js';
import type {ExchangeRequest} from './exchange_request.js';

/** Maximum number of idle connections to one backend server. */
const MAX_IDLE_CONNECTIONS = 8;

/**
 * Pools the connections to one backend server. Each connection carries one
 * request at a time.
 */
export class ConnectionPool {
  private readonly idle: Connection[] = [];
  private isClosed = false;

  constructor(
    private readonly address: Address,
    private readonly resolve: ResolveAddress = unchanged => unchanged,
  ) {}

  /**
   * Sends a request. An idle connection may have been reset or cut off in the
   * meantime, which shows only after the request has been sent. With
   * `useNewConnection`, a failure to connect shows before that; the new
   * connection is closed after the exchange. An address that is not valid fails
   * the exchange.
   */
  send(request: ExchangeRequest, useNewConnection = false): Exchange {
    const idle = useNewConnection ? undefined : this.idle.pop();
    const opened = idle ? succeed(idle) : this.open();
    if (!opened.ok) return createFailedExchange(opened.error.message);
    const connection = opened.value;
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

  /** Closes idle connections; exchanges in progress continue. */
  close(): void {
    this.isClosed = true;
    for (const connection of this.idle.splice(0)) connection.close();
  }

  private open(): Result<Connection> {
    const onClosed = (connection: Connection): void => {
      const index = this.idle.indexOf(connection);
      if (index >= 0) this.idle.splice(index, 1);
    };
    const {host, port} = this.resolve(this.address);
    const origin = `http://${host}:${port}`;
    try {
      return succeed(new Connection(origin, onClosed));
    } catch (cause) {
      const message = `${origin} is not a valid address`;
      return fail(new VmuxError(ErrorCodes.TransportFailed, {message, cause}));
    }
  }

  private release(connection: Connection): void {
    const hasCapacity =
      !this.isClosed && this.idle.length < MAX_IDLE_CONNECTIONS;
    if (hasCapacity && connection.isOpen) this.idle.push(connection);
    else connection.close();
  }
}

/** Creates an exchange that has failed before anything was sent. */
function createFailedExchange(reason: string): Exchange {
  const connection = {
    hasFailed: true,
    onReadable: () => undefined,
    onEnd: () => undefined,
    parsedBytes: 0,
    close: () => undefined,
  };
  const exchange = new Exchange(connection, () => undefined);
  exchange.cancel(reason);
  return exchange;
}
