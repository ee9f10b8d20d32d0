import type {Socket} from 'node:net';

/**
 * Calls `listener` when a connection ends otherwise than by its peer's ordinary
 * close. Node.js reports a reset that comes together with bytes as an ordinary
 * end. The system then knows no peer of the connection any more; Node.js keeps
 * the peer's address once it was read, so nothing else may read it before.
 * Called before any other listener for the end is added.
 */
export function onReset(socket: Socket, listener: () => void): void {
  socket.on('error', listener);
  socket.on('end', () => {
    if (socket.remoteAddress === undefined) listener();
  });
}
