import type {Dispatcher} from 'undici';

/** A request as it is sent to a backend server. */
export interface ExchangeRequest {
  readonly method: Dispatcher.HttpMethod;
  readonly path: string;
  /** Names and values in turn. */
  readonly headers: string[];
  readonly body?: Buffer;
}
