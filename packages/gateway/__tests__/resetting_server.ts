import {createServer, type AddressInfo, type Socket} from 'node:net';
import {parentPort, workerData} from 'node:worker_threads';
import {Ending} from './ending.js';

/** How a resetting server treats its connections. */
export interface ResettingServerOptions {
  /** Sent as soon as bytes of a request have arrived. */
  readonly firstBytes: string;
  /** Sent right before the end. */
  readonly lastBytes: string;
  readonly ending: Ending;
  /** Counts the connections that have ended; waiting threads are notified. */
  readonly endedCount: SharedArrayBuffer;
}

const {firstBytes, lastBytes, ending, endedCount} =
  workerData as ResettingServerOptions;
let socket: Socket | undefined;

function end(): void {
  if (ending === Ending.Plain) return void socket?.end(notify);
  socket?.once('close', notify);
  if (ending === Ending.Reset) socket?.resetAndDestroy();
  // The system resets a connection that is closed with unread bytes.
  else socket?.destroy();
}

function notify(): void {
  const counter = new Int32Array(endedCount);
  Atomics.add(counter, 0, 1);
  Atomics.notify(counter, 0);
}

// A thread of its own, so that a connection ends while the test's event loop is
// blocked.
const server = createServer(accepted => {
  socket = accepted;
  accepted.on('error', () => undefined);
  accepted.once('data', () => {
    if (ending === Ending.CloseUnread) accepted.pause();
    accepted.write(firstBytes);
  });
});
server.listen(0, '127.0.0.1', () =>
  parentPort!.postMessage((server.address() as AddressInfo).port),
);
parentPort!.on('message', () => void socket?.write(lastBytes, end));
