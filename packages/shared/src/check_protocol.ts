import type {Socket} from 'node:net';

/** Versions of the start of a status line that the undici client speaks. */
const PROTOCOLS: readonly string[] = ['HTTP/1.0', 'HTTP/1.1'];
const PROTOCOL_LENGTH = 'HTTP/1.1'.length;

/**
 * Destroys a socket whose first bytes belong to another protocol than HTTP/1. The
 * parser of the undici client takes other versions, RTSP and ICE for HTTP/1.
 */
export function checkProtocol(socket: Socket): void {
  let start = '';
  const read = socket.read.bind(socket);
  socket.read = (size): Buffer | null => {
    const bytes = read(size) as Buffer | null;
    if (bytes === null) return null;
    start += bytes.toString('latin1', 0, PROTOCOL_LENGTH - start.length);
    if (!PROTOCOLS.some(protocol => protocol.startsWith(start))) {
      const text = JSON.stringify(start);
      socket.destroy(new Error(`a response that begins with ${text}`));
      return null;
    }
    // The responses after the first one come from the same server.
    if (start.length === PROTOCOL_LENGTH)
      Reflect.deleteProperty(socket, 'read');
    return bytes;
  };
}
