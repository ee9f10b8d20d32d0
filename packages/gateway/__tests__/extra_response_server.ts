import {createServer, type AddressInfo, type Socket} from 'node:net';
import {parentPort, workerData} from 'node:worker_threads';

/** Counts the extra responses that were sent; waiting threads are notified. */
const extraCount = workerData as SharedArrayBuffer;
let last: Socket | undefined;
let responses = 0;

function respond(socket: Socket, body: string, onSent?: () => void): void {
  const head = `HTTP/1.1 200 OK\r\nContent-Length: ${body.length}\r\n\r\n`;
  socket.write(head + body, onSent);
}

// A thread of its own, so that it sends while the test's event loop is blocked.
const server = createServer(socket => {
  last = socket;
  socket.on('error', () => undefined);
  socket.on('data', () => respond(socket, `response ${++responses}`));
});
server.listen(0, '127.0.0.1', () =>
  parentPort!.postMessage((server.address() as AddressInfo).port),
);
parentPort!.on('message', () =>
  respond(last!, 'extra', () => {
    const counter = new Int32Array(extraCount);
    Atomics.add(counter, 0, 1);
    Atomics.notify(counter, 0);
  }),
);
