import {connect} from 'node:net';
import {ConnectTimeoutError} from './connect_timeout_error.js';
import type {Connector} from './connector.js';

/**
 * Timeout for connecting to a backend server. It is far above a round trip
 * within a region, and low enough for another attempt within the shortest
 * goal. TCP retransmits a lost packet only after a second, which is too late.
 */
const CONNECT_TIMEOUT_MS = 120;
const KEEP_ALIVE_DELAY_MS = 60_000;

/**
 * Opens the socket of a connection. The timers of undici's own connector have a
 * resolution of half a second, so a connection that hangs would cost a client up
 * to a second.
 */
export const connectSocket: Connector = ({hostname, port}, callback) => {
  const socket = connect({
    host: hostname,
    port: Number(port),
    noDelay: true,
    keepAlive: true,
    keepAliveInitialDelay: KEEP_ALIVE_DELAY_MS,
  });
  let isSettled = false;
  const timer = setTimeout(() => {
    // A connection that was accepted while this host was busy comes first.
    setImmediate(() => {
      if (isSettled) return;
      const address = `${hostname}:${port}`;
      socket.destroy(new ConnectTimeoutError(address, CONNECT_TIMEOUT_MS));
    });
  }, CONNECT_TIMEOUT_MS);
  const settle = (): boolean => {
    clearTimeout(timer);
    const isFirst = !isSettled;
    isSettled = true;
    return isFirst;
  };
  socket.once('connect', () => {
    if (settle()) callback(null, socket);
  });
  // Later errors are handled by the owner of the socket.
  socket.on('error', error => {
    if (settle()) callback(error, null);
  });
};
