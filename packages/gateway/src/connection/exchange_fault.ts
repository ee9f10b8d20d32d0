/** An exchange with a backend server ended without a whole answer. */
export class ExchangeFault extends Error {
  constructor(
    /** Whether a byte of the request may have left. */
    readonly wasSent: boolean,
    readonly reason: string,
  ) {
    super(reason);
    this.name = 'ExchangeFault';
  }
}
