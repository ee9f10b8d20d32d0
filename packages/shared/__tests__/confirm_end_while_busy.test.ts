import assert from 'node:assert/strict';
import {once} from 'node:events';
import {describe, it} from 'node:test';
import {setImmediate} from 'node:timers/promises';
import {Worker} from 'node:worker_threads';
import {confirmEnd} from '../src/confirm_end.js';
import {sleep} from '../src/sleep.js';
import type {ClosingServerOptions} from './closing_server.js';

const HOST = '127.0.0.1';
const SERVER = new URL('./closing_server.js', import.meta.url);
/** Shorter than the time for which a connection has to last. */
const LATE_MS = 20;
/** Longer than that time. */
const BUSY_MS = 150;

describe('the end of a process', () => {
  for (const isReset of [false, true]) {
    const event = isReset ? 'reset' : 'plain end';
    it(`is confirmed after the ${event} of a connection while the host was busy`, async () => {
      const options: ClosingServerOptions = {
        isReset,
        endedCount: new SharedArrayBuffer(Int32Array.BYTES_PER_ELEMENT),
      };
      const server = new Worker(SERVER, {workerData: options});
      try {
        const [port] = (await once(server, 'message')) as [number];
        const isEnd = confirmEnd({host: HOST, port});
        await sleep(LATE_MS);
        // Timers that are due come next, before the system is polled.
        await setImmediate();
        server.postMessage('close');
        Atomics.wait(new Int32Array(options.endedCount), 0, 0);
        const blocked = new Int32Array(new SharedArrayBuffer(4));
        Atomics.wait(blocked, 0, 0, BUSY_MS);
        assert.equal(await isEnd, true);
      } finally {
        await server.terminate();
      }
    });
  }
});
