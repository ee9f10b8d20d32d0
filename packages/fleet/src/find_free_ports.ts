import {createServer, type AddressInfo, type Server} from 'node:net';

const LOOPBACK = '127.0.0.1';

/**
 * Finds free loopback ports. Listens on all of them at once, so that they
 * differ, and then closes them.
 */
export async function findFreePorts(count: number): Promise<number[]> {
  const servers: Server[] = [];
  for (let index = 0; index < count; index++)
    servers.push(await listenOnFreePort());
  const ports = servers.map(server => (server.address() as AddressInfo).port);
  await Promise.all(servers.map(closeServer));
  return ports;
}

function listenOnFreePort(): Promise<Server> {
  return new Promise((resolve, reject) => {
    const server = createServer();
    server.once('error', reject);
    server.listen(0, LOOPBACK, () => resolve(server));
  });
}

function closeServer(server: Server): Promise<void> {
  return new Promise(resolve => server.close(() => resolve()));
}
