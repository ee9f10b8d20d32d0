import assert from 'node:assert/strict';
import {once} from 'node:events';
import {describe, it} from 'node:test';
import {setImmediate} from 'node:timers/promises';
import {Worker} from 'node:worker_threads';
import {sleep} from '@vanillamux/shared';
import {ConnectionPools} from '../src/connection/connection_pools.js';
import {Backend} from '../src/fleet/backend.js';
import {createPresence} from './create_backend.js';
import {Ending} from './ending.js';
import type {ResettingServerOptions} from './resetting_server.js';

const HOST = '127.0.0.1';
const SERVER = new URL('./resetting_server.js', import.meta.url);
/** Shorter than the time for which a connection has to last. */
const LATE_MS = 20;
/** Longer than that time. */
const BUSY_MS = 150;

describe('a probe of a backend server', () => {
  for (const [ending, isListening] of [
    [Ending.Plain, false],
    [Ending.Reset, false],
    [undefined, true],
  ] as const) {
    const event = ending ?? 'pause';
    it(`${isListening ? 'succeeds' : 'fails'} after a ${event} while the host was busy`, async () => {
      const options: ResettingServerOptions = {
        firstBytes: '',
        lastBytes: '',
        ending: ending ?? Ending.Plain,
        endedCount: new SharedArrayBuffer(Int32Array.BYTES_PER_ELEMENT),
      };
      const ended = new Int32Array(options.endedCount);
      const worker = new Worker(SERVER, {workerData: options});
      try {
        const [port] = (await once(worker, 'message')) as [number];
        const backend = new Backend(
          createPresence({address: {host: HOST, port}}),
        );
        const probe = new ConnectionPools().probe(backend);
        await sleep(LATE_MS);
        // Timers that are due come next, before the system is polled.
        await setImmediate();
        if (ending) worker.postMessage('end');
        if (ending) Atomics.wait(ended, 0, 0);
        const blocked = new Int32Array(new SharedArrayBuffer(4));
        Atomics.wait(blocked, 0, 0, BUSY_MS);
        assert.equal(await probe, isListening);
      } finally {
        await worker.terminate();
      }
    });
  }
});
