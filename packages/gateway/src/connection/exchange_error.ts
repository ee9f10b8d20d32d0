/** Options of an `ExchangeError`. */
export interface ExchangeErrorOptions {
  /** Whether the backend server did not accept the connection in time. */
  readonly isConnectTimeout?: boolean;
  /** Whether the backend server closed or reset the connection. */
  readonly isDisconnect?: boolean;
  /** Whether the backend server sent a head, which was malformed. */
  readonly hasAnswered?: boolean;
}

/** An exchange with a backend server ended without a complete response. */
export class ExchangeError extends Error {
  readonly isConnectTimeout: boolean;
  readonly isDisconnect: boolean;
  readonly hasAnswered: boolean;

  constructor(
    /** Whether any byte of the request may have been sent. */
    readonly mayHaveBeenSent: boolean,
    readonly reason: string,
    {
      isConnectTimeout = false,
      isDisconnect = false,
      hasAnswered = false,
    }: ExchangeErrorOptions = {},
  ) {
    super(reason);
    this.name = 'ExchangeError';
    this.isConnectTimeout = isConnectTimeout;
    this.isDisconnect = isDisconnect;
    this.hasAnswered = hasAnswered;
  }
}
