import {randomInt} from 'node:crypto';
import {createServer, type Server} from 'node:net';

const LOOPBACK = '127.0.0.1';
/** Ports below those that systems give to outgoing connections. */
const FIRST_PORT = 10_240;
const BLOCKS = 352;
/** Ports of a block: the first locks it, the others are given out. */
const BLOCK_PORTS = 64;

/** Ports of the blocks of this process that have not been given out. */
const available: number[] = [];

/**
 * Finds free loopback ports. None is returned twice by one process, nor by two
 * that run at the same time, as the programs that will listen on them may take a
 * while to start, and may stop and start again.
 */
export async function findFreePorts(count: number): Promise<number[]> {
  const ports: number[] = [];
  while (ports.length < count) {
    const port = available.shift();
    if (port === undefined) {
      available.push(...(await lockBlock()));
      continue;
    }
    const server = await listenOn(port);
    if (!server) continue;
    await closeServer(server);
    ports.push(port);
  }
  return ports;
}

/**
 * Locks a block of ports until this process ends, by listening on its first
 * port. Returns the others.
 */
async function lockBlock(): Promise<number[]> {
  const start = randomInt(BLOCKS);
  for (let tries = 0; tries < BLOCKS; tries++) {
    const first = FIRST_PORT + ((start + tries) % BLOCKS) * BLOCK_PORTS;
    const lock = await listenOn(first);
    if (!lock) continue;
    lock.unref();
    return Array.from(
      {length: BLOCK_PORTS - 1},
      (_, index) => first + 1 + index,
    );
  }
  throw new Error(`other processes use all ${BLOCKS} blocks of ports`);
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
