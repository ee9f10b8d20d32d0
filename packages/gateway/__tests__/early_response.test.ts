import assert from 'node:assert/strict';
import {once} from 'node:events';
import {describe, it} from 'node:test';
import {Worker} from 'node:worker_threads';
import {ConnectionPool} from '../src/connection/connection_pool.js';
import {Ending} from './ending.js';
import type {ResettingServerOptions} from './resetting_server.js';

const HOST = '127.0.0.1';
const SERVER = new URL('./resetting_server.js', import.meta.url);
/** Larger than the buffers of the sockets. */
const UPLOAD = Buffer.alloc(16 * 1_024 * 1_024);
const FIRST = 'first ';
const LAST = 'last';
const WHOLE = FIRST + LAST;
const CLOSE = 'Connection: close\r\n';
const CHUNKED = 'Transfer-Encoding: chunked\r\n';

/** Responses in two parts. What is left of the last row's is not whole. */
const FRAMINGS = [
  {name: 'without a length', head: '\r\n', isProof: false},
  {
    name: 'with a length',
    head: `Content-Length: ${WHOLE.length}\r\n\r\n`,
    isProof: true,
  },
  {
    name: 'with a length, to be closed',
    head: `${CLOSE}Content-Length: ${WHOLE.length}\r\n\r\n`,
    isProof: true,
  },
  {
    name: 'with a larger length',
    head: `Content-Length: ${WHOLE.length + 1}\r\n\r\n`,
    isShort: true,
  },
  {
    name: 'with a larger length, to be closed',
    head: `${CLOSE}Content-Length: ${WHOLE.length + 1}\r\n\r\n`,
    isShort: true,
  },
  ...['0\r\n\r\n', '0\r\n', '0', ''].flatMap(end =>
    ['', CLOSE].map(close => ({
      name: `in chunks that end with ${JSON.stringify(end)}${close && ', to be closed'}`,
      head: `${CHUNKED}${close}\r\n`,
      isChunked: true,
      end,
      isProof: end === '0\r\n\r\n',
      isShort: end !== '0\r\n\r\n',
    })),
  ),
];

interface Framing {
  readonly head: string;
  readonly isChunked?: boolean;
  readonly end?: string;
}

const ENDINGS = [Ending.Plain, Ending.Reset, Ending.CloseUnread];

/**
 * Reads a response that is sent while the upload is under way; returns its text,
 * or `undefined` if it is incomplete.
 */
async function read(
  {head, isChunked, end = ''}: Framing,
  ending: Ending,
  isBusy: boolean,
): Promise<string | undefined> {
  const format = (text: string): string =>
    isChunked ? `${text.length.toString(16)}\r\n${text}\r\n` : text;
  const options: ResettingServerOptions = {
    firstBytes: `HTTP/1.1 200 OK\r\n${head}${format(FIRST)}`,
    lastBytes: format(LAST) + end,
    ending,
    endedCount: new SharedArrayBuffer(Int32Array.BYTES_PER_ELEMENT),
  };
  const server = new Worker(SERVER, {workerData: options});
  try {
    const [port] = (await once(server, 'message')) as [number];
    const pool = new ConnectionPool({host: HOST, port});
    const request = {method: 'POST' as const, path: '/', headers: []};
    const exchange = pool.send({...request, body: UPLOAD}, true);
    assert.ok((await exchange.head()).ok);
    server.postMessage('end');
    if (isBusy) Atomics.wait(new Int32Array(options.endedCount), 0, 0);
    let text = '';
    for (;;) {
      const chunk = await exchange.read();
      if (!chunk.ok) return undefined;
      if (!chunk.value) return text;
      text += String(chunk.value);
    }
  } finally {
    await server.terminate();
  }
}

describe('a response before the end of the upload', () => {
  for (const {name, isProof, isShort, ...framing} of FRAMINGS) {
    for (const ending of ENDINGS) {
      for (const isBusy of [false, true]) {
        const reader = isBusy ? 'a busy host' : 'an idle host';
        it(`looks complete to ${reader} only if it is: ${name}, ${ending}`, async () => {
          const text = await read(framing, ending, isBusy);
          if (ending === Ending.Plain && !isShort) assert.equal(text, WHOLE);
          else if (!isProof) assert.equal(text, undefined);
          // The reset may discard what was not read.
          else assert.ok(text === undefined || text === WHOLE, text);
        });
      }
    }
  }
});
