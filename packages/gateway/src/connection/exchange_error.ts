/** An exchange with a backend server ended without a whole answer. */
export class ExchangeError extends Error {
  constructor(
    /** Whether a byte of the request may have left. */
    readonly mayHaveBeenSent: boolean,
    readonly reason: string,
    /** Whether the backend server did not take the connection in time. */
    readonly isConnectTimeout = false,
  ) {
    super(reason);
    this.name = 'ExchangeFault';
  }
}
