import type {Socket} from 'node:net';

const RESET_CODE = 'ECONNRESET';
/** Code of undici for a connection that its peer has closed. */
const CLOSED_CODE = 'UND_ERR_SOCKET';

/**
 * Calls `listener` when a connection was reset, or has failed otherwise. Node.js
 * reports a reset that comes together with bytes as an ordinary end. The system
 * then knows no peer of the connection any more; Node.js keeps the peer's address
 * once it was read, so nothing else may read it before. A reset that follows an
 * ordinary end before this side has read it counts as well. Called before the
 * undici client adds its listeners.
 */
export function onReset(socket: Socket, listener: () => void): void {
  socket.on('error', (error: NodeJS.ErrnoException) => {
    // The undici client completes a response without a length at this code, and
    // throws while it is paused.
    if (error.code === RESET_CODE) error.code = CLOSED_CODE;
    listener();
  });
  socket.on('end', () => {
    if (socket.remoteAddress === undefined) listener();
  });
}
