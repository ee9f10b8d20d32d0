import {randomInt} from 'node:crypto';
import {createServer, type Server} from 'node:net';

const LOOPBACK = '127.0.0.1';
/** Ports below those that systems give to outgoing connections. */
const FIRST_PORT = 10_240;
const LAST_PORT = 32_767;
const MAX_TRIES = 100;

/**
 * Finds free loopback ports. Listens on all of them at once, so that they
 * differ, and then closes them. Until the caller listens, no outgoing
 * connection of another process is given one of them.
 */
export async function findFreePorts(count: number): Promise<number[]> {
  const servers = new Map<number, Server>();
  for (let tries = 0; servers.size < count; tries++) {
    const port = randomInt(FIRST_PORT, LAST_PORT + 1);
    const server = await listenOn(port);
    if (server) servers.set(port, server);
    else if (tries >= MAX_TRIES + count)
      throw new Error(`found ${servers.size} of ${count} free ports`);
  }
  await Promise.all([...servers.values()].map(closeServer));
  return [...servers.keys()];
}

/** Listens on a port; `undefined` if that is not possible. */
function listenOn(port: number): Promise<Server | undefined> {
  return new Promise(resolve => {
    const server = createServer();
    server.once('error', () => resolve(undefined));
    server.listen(port, LOOPBACK, () => resolve(server));
  });
}

function closeServer(server: Server): Promise<void> {
  return new Promise(resolve => server.close(() => resolve()));
}
