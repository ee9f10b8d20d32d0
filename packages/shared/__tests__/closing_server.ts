import {createServer, type AddressInfo, type Socket} from 'node:net';
import {parentPort, workerData} from 'node:worker_threads';

/** How a closing server treats its connections. */
export interface ClosingServerOptions {
  readonly isReset: boolean;
  /** Counts the connections that have ended; waiting threads are notified. */
  readonly endedCount: SharedArrayBuffer;
}

const {isReset, endedCount} = workerData as ClosingServerOptions;
let last: Socket | undefined;

function notify(): void {
  const counter = new Int32Array(endedCount);
  Atomics.add(counter, 0, 1);
  Atomics.notify(counter, 0);
}

// A thread of its own, so that it closes while the test's event loop is blocked.
const server = createServer(socket => {
  last = socket;
  socket.on('error', () => undefined);
});
server.listen(0, '127.0.0.1', () =>
  parentPort!.postMessage((server.address() as AddressInfo).port),
);
parentPort!.on('message', () => {
  server.close();
  if (!isReset) return void last?.end(notify);
  last?.once('close', notify);
  last?.resetAndDestroy();
});
