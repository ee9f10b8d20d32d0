import type {Dispatcher} from 'undici';

/** A request as it is sent to a backend server. */
export interface ExchangeRequest {
  readonly method: Dispatcher.HttpMethod;
  readonly path: string;
  /** Alternating names and values. */
  readonly headers: string[];
  readonly body?: Buffer;
}
