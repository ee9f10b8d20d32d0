import assert from 'node:assert/strict';
import {once} from 'node:events';
import {describe, it} from 'node:test';
import {Worker} from 'node:worker_threads';
import {ConnectionPool} from '../src/connection/connection_pool.js';
import type {Exchange} from '../src/connection/exchange.js';
import {Ending} from './ending.js';
import type {ResettingServerOptions} from './resetting_server.js';

const HOST = '127.0.0.1';
const SERVER = new URL('./resetting_server.js', import.meta.url);
/** Larger than the buffers of the sockets. */
const UPLOAD = Buffer.alloc(16 * 1_024 * 1_024);
const ROUNDS = 5;

const CASES = [
  {ending: Ending.Plain, body: undefined, isComplete: true},
  {ending: Ending.Plain, body: UPLOAD, isComplete: true},
  {ending: Ending.Reset, body: undefined, isComplete: false},
  {ending: Ending.Reset, body: UPLOAD, isComplete: false},
  {ending: Ending.CloseUnread, body: UPLOAD, isComplete: false},
];

/** Reads a body; returns its text, or `undefined` if it is incomplete. */
async function readText(exchange: Exchange): Promise<string | undefined> {
  let text = '';
  for (;;) {
    const chunk = await exchange.read();
    if (!chunk.ok) return undefined;
    if (!chunk.value) return text;
    text += chunk.value.toString();
  }
}

/** Blocks the event loop from the first bytes of a body to the end of its connection. */
async function readWhileBusy(
  ending: Ending,
  body: Buffer | undefined,
): Promise<string | undefined> {
  const options: ResettingServerOptions = {
    firstBytes: 'HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nfirst ',
    lastBytes: 'last',
    ending,
    endedCount: new SharedArrayBuffer(Int32Array.BYTES_PER_ELEMENT),
  };
  const server = new Worker(SERVER, {workerData: options});
  try {
    const [port] = (await once(server, 'message')) as [number];
    const pool = new ConnectionPool({host: HOST, port});
    const exchange = pool.send({method: 'POST', path: '/', headers: [], body});
    const head = await exchange.head();
    assert.ok(head.ok);
    server.postMessage('end');
    Atomics.wait(new Int32Array(options.endedCount), 0, 0);
    return await readText(exchange);
  } finally {
    await server.terminate();
  }
}

// A reset that came together with bytes was read as the end of a body without a length.
describe('a body without a length whose connection ends while the host is busy', () => {
  for (const {ending, body, isComplete} of CASES) {
    const name = `is ${isComplete ? 'complete' : 'incomplete'} after a ${ending}`;
    it(`${name}${body ? ', with an upload' : ''}`, async () => {
      for (let round = 0; round < ROUNDS; round++) {
        const text = await readWhileBusy(ending, body);
        assert.equal(text, isComplete ? 'first last' : undefined);
      }
    });
  }
});
