import {createSocket} from 'node:dgram';
import {once} from 'node:events';

/** Returns a port that no UDP socket on `host` uses at the moment. */
export async function freePort(host: string): Promise<number> {
  const socket = createSocket('udp4');
  socket.bind(0, host);
  await once(socket, 'listening');
  const {port} = socket.address();
  socket.close();
  return port;
}
