import {connect} from 'node:net';
import type {Address} from './address.js';
import {pollIo} from './poll_io.js';
import {sleep} from './sleep.js';

/** Time in which a host on the same network refuses a connection. */
const CONNECT_TIMEOUT_MS = 250;
/**
 * Time in which a process that ends closes its last connections: a round trip
 * within a region, and the delay of a busy host.
 */
const HOLD_MS = 100;

/** What became of a connection. */
enum ConnectionState {
  Refused,
  /** It was accepted, and closed or reset soon after. */
  Closed,
  Open,
  Unreachable,
}

/**
 * Returns whether nothing listens at an address any more. A single connection
 * that was reset says nothing about the process behind it, and the listener of a
 * process that ends may outlive its other connections.
 */
export async function confirmEnd(address: Address): Promise<boolean> {
  let state = await tryConnection(address);
  if (state === ConnectionState.Closed) state = await tryConnection(address);
  return state === ConnectionState.Refused;
}

async function tryConnection({host, port}: Address): Promise<ConnectionState> {
  const socket = connect({host, port});
  let isConnected = false;
  const closed = new Promise<ConnectionState>(resolve => {
    socket.once('error', (error: NodeJS.ErrnoException) =>
      resolve(
        error.code === 'ECONNREFUSED'
          ? ConnectionState.Refused
          : ConnectionState.Closed,
      ),
    );
    socket.once('end', () => resolve(ConnectionState.Closed));
    socket.resume();
  });
  const connected = new Promise<void>(resolve =>
    socket.once('connect', () => {
      isConnected = true;
      resolve();
    }),
  );
  const timer = new AbortController();
  const connectTimeout = sleep(CONNECT_TIMEOUT_MS, timer.signal);
  const held = Promise.race([connected, connectTimeout])
    .then(() => (isConnected ? sleep(HOLD_MS, timer.signal) : undefined))
    // What arrived while this host was busy is read first.
    .then(() => pollIo())
    .then(() =>
      isConnected ? ConnectionState.Open : ConnectionState.Unreachable,
    );
  const state = await Promise.race([closed, held]);
  timer.abort();
  socket.destroy();
  return state;
}
