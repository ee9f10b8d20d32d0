import {createSocket} from 'node:dgram';
import {once} from 'node:events';

/** A port that no datagram socket of the address has at the moment. */
export async function freePort(host: string): Promise<number> {
  const socket = createSocket('udp4');
  socket.bind(0, host);
  await once(socket, 'listening');
  const {port} = socket.address();
  socket.close();
  return port;
}
