/** A server did not accept a connection in time. */
export class ConnectTimeoutError extends Error {
  /** The code that the system reports for a connect timeout of its own. */
  readonly code = 'ETIMEDOUT';

  constructor(address: string, timeoutMs: number) {
    super(`no connection to ${address} within ${timeoutMs} ms`);
    this.name = 'ConnectTimeoutError';
  }
}
