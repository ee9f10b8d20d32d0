import type {Socket} from 'node:net';

/** Bytes after which the sender closes; far above any limit. */
const MAX_SENT_BYTES = 16 * 1_024 * 1_024;
const PIECE_BYTES = 16 * 1_024;

/**
 * Sends `start` once and `piece` again and again until the caller closes.
 * Returns the number of bytes.
 */
export async function sendEndlessly(
  socket: Socket,
  start: string,
  piece: string,
): Promise<number> {
  const pieces = piece.repeat(Math.ceil(PIECE_BYTES / piece.length));
  let sentBytes = start.length;
  socket.write(start);
  while (!socket.destroyed && sentBytes < MAX_SENT_BYTES) {
    sentBytes += pieces.length;
    socket.write(pieces);
    await new Promise(resolve => setImmediate(resolve));
  }
  socket.destroy();
  return sentBytes;
}
