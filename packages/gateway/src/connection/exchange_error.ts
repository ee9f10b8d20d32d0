/** An exchange with a backend server ended without a complete response. */
export class ExchangeError extends Error {
  constructor(
    /** Whether any byte of the request may have been sent. */
    readonly mayHaveBeenSent: boolean,
    readonly reason: string,
    /** Whether the backend server did not accept the connection in time. */
    readonly isConnectTimeout = false,
    /** Whether the backend server closed or reset the connection. */
    readonly isDisconnect = false,
  ) {
    super(reason);
    this.name = 'ExchangeError';
  }
}
