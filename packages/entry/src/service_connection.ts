import type {Address} from '@vanillamux/shared';
import type {Dispatcher} from 'undici';
import {checkResponses} from './check_responses.js';
import {CheckedClient} from './checked_client.js';

/** Connection to a plain service for one call. */
export class ServiceConnection {
  readonly dispatcher: Dispatcher;
  private readonly client: CheckedClient;

  constructor({host, port}: Address) {
    this.client = new CheckedClient(`http://${host}:${port}`);
    this.dispatcher = this.client.compose(checkResponses);
  }

  /** Closes the connection; a call on it fails. */
  async close(): Promise<void> {
    await this.client.destroy();
  }
}
