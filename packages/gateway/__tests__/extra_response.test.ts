import assert from 'node:assert/strict';
import {once} from 'node:events';
import {describe, it} from 'node:test';
import {Worker} from 'node:worker_threads';
import {sleep} from '@vanillamux/shared';
import {ConnectionPool} from '../src/connection/connection_pool.js';

const HOST = '127.0.0.1';
const SERVER = new URL('./extra_response_server.js', import.meta.url);
/** Time in which a reusable connection returns to its pool. */
const RELEASE_DELAY_MS = 20;

const CASES = [
  {useNewConnection: true, isBusy: false},
  {useNewConnection: true, isBusy: true},
  {useNewConnection: false, isBusy: false},
  {useNewConnection: false, isBusy: true},
];

/** Returns the body of a response, or `undefined` if it is incomplete. */
async function send(
  pool: ConnectionPool,
  useNewConnection: boolean,
): Promise<string | undefined> {
  const request = {method: 'GET' as const, path: '/', headers: []};
  const exchange = pool.send(request, useNewConnection);
  let text = '';
  for (;;) {
    const chunk = await exchange.read();
    if (!chunk.ok) return undefined;
    if (!chunk.value) return text;
    text += String(chunk.value);
  }
}

describe('an extra response, sent after a complete one', () => {
  for (const {useNewConnection, isBusy} of CASES) {
    const connection = useNewConnection ? 'a new connection' : 'a kept one';
    const state = isBusy ? 'busy' : 'idle';
    it(`is not that to the next request on ${connection}: the host is ${state}`, async () => {
      const extraCount = new SharedArrayBuffer(Int32Array.BYTES_PER_ELEMENT);
      const server = new Worker(SERVER, {workerData: extraCount});
      try {
        const [port] = (await once(server, 'message')) as [number];
        const pool = new ConnectionPool({host: HOST, port});
        assert.equal(await send(pool, useNewConnection), 'response 1');
        await sleep(RELEASE_DELAY_MS);
        server.postMessage('extra');
        Atomics.wait(new Int32Array(extraCount), 0, 0);
        if (!isBusy) await sleep(RELEASE_DELAY_MS);
        const text = await send(pool, useNewConnection);
        assert.ok(text === undefined || text === 'response 2', text);
        if (useNewConnection) assert.equal(text, 'response 2');
        pool.close();
      } finally {
        await server.terminate();
      }
    });
  }
});
