import {connect} from 'node:net';
import type {Address} from './address.js';

/** Time in which a host on the same network refuses a connection. */
const CONNECT_TIMEOUT_MS = 250;

/**
 * Returns whether nothing listens at an address any more. A single connection
 * that was reset says nothing about the process behind it.
 */
export function confirmEnd({host, port}: Address): Promise<boolean> {
  return new Promise(resolve => {
    const socket = connect({host, port});
    const finish = (hasEnded: boolean): void => {
      clearTimeout(timer);
      socket.destroy();
      resolve(hasEnded);
    };
    const timer = setTimeout(() => finish(false), CONNECT_TIMEOUT_MS);
    socket.once('connect', () => finish(false));
    socket.once('error', (error: NodeJS.ErrnoException) =>
      finish(error.code === 'ECONNREFUSED'),
    );
  });
}
