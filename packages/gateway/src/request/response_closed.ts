import type {ServerResponse} from 'node:http';

/**
 * Resolves once a response was handed over to the system, or its connection is
 * gone. `end()` only queues what a slow client has not taken yet, and an exit of
 * the process drops the queue.
 */
export function responseClosed(res: ServerResponse): Promise<void> {
  // Node emits 'close' after 'finish' and when the connection closes.
  if (res.closed || res.destroyed) return Promise.resolve();
  return new Promise(resolve => res.once('close', () => resolve()));
}
