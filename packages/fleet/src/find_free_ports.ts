import {createServer, type Server} from 'node:net';
import process from 'node:process';

const LOOPBACK = '127.0.0.1';
/** Ports below those that systems give to outgoing connections. */
const FIRST_PORT = 10_240;
const PORTS = 22_528;
/** Ports between the first ones of processes with consecutive ids. */
const BLOCK_PORTS = 256;

let nextOffset = (process.pid * BLOCK_PORTS) % PORTS;

/**
 * Finds free loopback ports. None is returned twice by one process, as the
 * programs that will listen on them may take a while to start; processes that
 * run at the same time look in different blocks.
 */
export async function findFreePorts(count: number): Promise<number[]> {
  const ports: number[] = [];
  for (let tries = 0; ports.length < count; tries++) {
    if (tries === PORTS)
      throw new Error(`found ${ports.length} of ${count} free ports`);
    const port = FIRST_PORT + nextOffset;
    nextOffset = (nextOffset + 1) % PORTS;
    const server = await listenOn(port);
    if (!server) continue;
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
