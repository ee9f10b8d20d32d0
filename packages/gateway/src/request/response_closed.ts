import type {ServerResponse} from 'node:http';

/**
 * Resolves once a response was handed over to the system, or its connection is
 * gone. `end()` only queues what a slow client has not taken yet, and an exit of
 * the process drops the queue.
 */
export function responseClosed(res: ServerResponse): Promise<void> {
  const {socket} = res.req;
  if (res.closed || res.destroyed || socket.destroyed) return Promise.resolve();
  return new Promise(resolve => {
    const onClose = (): void => {
      res.off('close', onClose);
      socket.off('close', onClose);
      resolve();
    };
    // Node emits 'close' after 'finish', and when the connection closes, but
    // not on a response that waits for that to an earlier request.
    res.on('close', onClose);
    socket.on('close', onClose);
  });
}
