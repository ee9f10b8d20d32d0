import type {ClientServer} from './client_server.js';
import {pollIo} from './poll_io.js';

/** Connections that the system holds until they are accepted, as Node.js asks. */
const LISTEN_BACKLOG = 511;

/**
 * Accepts the connections that have arrived and reads what was sent on them.
 * libuv accepts one in each poll, and the end of a listener resets the others.
 */
export async function acceptArrived(
  servers: readonly ClientServer[],
): Promise<void> {
  const countAccepted = (): number =>
    servers.reduce((sum, {acceptedCount}) => sum + acceptedCount, 0);
  for (let round = 0; round < LISTEN_BACKLOG; round++) {
    const acceptedCount = countAccepted();
    await pollIo();
    if (countAccepted() === acceptedCount) return;
  }
}
