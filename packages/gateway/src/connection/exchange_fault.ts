/** An exchange with a backend server ended without a complete response. */
export class ExchangeFault extends Error {
  constructor(
    /** Whether any byte of the request may have been sent. */
    readonly wasSent: boolean,
    readonly reason: string,
    /** Whether the backend server did not accept the connection in time. */
    readonly isUnreachable = false,
  ) {
    super(reason);
    this.name = 'ExchangeFault';
  }
}
