import {ExchangeError} from '../connection/exchange_error.js';

/** Creates the error of a body whose server was gone at its end. */
export function createBrokenOffError(): ExchangeError {
  return new ExchangeError(true, 'the server was gone at the end of the body', {
    isDisconnect: true,
  });
}
