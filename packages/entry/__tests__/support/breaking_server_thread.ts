import {createServer, type AddressInfo} from 'node:net';
import {parentPort, workerData} from 'node:worker_threads';
import {BreakState} from './break_state.js';
import type {BreakingServerOptions} from './breaking_server_options.js';

const {text, isReset, stopsListening, isReaderBusy, sharedState} =
  workerData as BreakingServerOptions & {
    readonly sharedState: SharedArrayBuffer;
  };
const state = new Int32Array(sharedState);

function reportEnd(): void {
  Atomics.store(state, 0, BreakState.Ended);
  Atomics.notify(state, 0);
}

const server = createServer(socket => {
  socket.on('error', () => undefined);
  socket.once('data', () => {
    socket.pause();
    if (isReaderBusy) {
      parentPort!.postMessage('request arrived');
      Atomics.wait(state, 0, BreakState.Started);
    }
    if (stopsListening) server.close();
    if (isReset) {
      socket.on('close', reportEnd);
      socket.write(text, () => socket.resetAndDestroy());
    } else {
      socket.end(text, reportEnd);
    }
  });
});
server.listen(0, '127.0.0.1', () =>
  parentPort!.postMessage((server.address() as AddressInfo).port),
);
