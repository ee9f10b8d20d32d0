/** An exchange with a backend server ended without a whole answer. */
export class ExchangeFault extends Error {
  constructor(
    /** Whether a byte of the request may have left. */
    readonly wasSent: boolean,
    readonly reason: string,
    /** Whether the backend server did not take the connection in time. */
    readonly isUnreachable = false,
  ) {
    super(reason);
    this.name = 'ExchangeFault';
  }
}
