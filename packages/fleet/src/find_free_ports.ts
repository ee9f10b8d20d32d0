import {randomInt} from 'node:crypto';
import {createServer, type Server} from 'node:net';

const LOOPBACK = '127.0.0.1';
/** Ports below those that systems give to outgoing connections. */
const FIRST_PORT = 10_240;
const PORTS = 22_528;

/** Ports that this process has been given. */
const given = new Set<number>();

/**
 * Finds free loopback ports. None is returned twice by one process, as the
 * programs that will listen on them may take a while to start. They are drawn
 * at random, as other processes look for ports at the same time.
 */
export async function findFreePorts(count: number): Promise<number[]> {
  const ports: number[] = [];
  for (let tries = 0; ports.length < count; tries++) {
    if (tries === PORTS)
      throw new Error(`found ${ports.length} of ${count} free ports`);
    const port = FIRST_PORT + randomInt(PORTS);
    if (given.has(port)) continue;
    const server = await listenOn(port);
    if (!server) continue;
    given.add(port);
    await closeServer(server);
    ports.push(port);
  }
  return ports;
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
