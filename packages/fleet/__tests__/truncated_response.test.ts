import assert from 'node:assert/strict';
import {once} from 'node:events';
import {createServer, type AddressInfo, type Socket} from 'node:net';
import {after, afterEach, before, beforeEach, describe, it} from 'node:test';
import {ApiClient} from '../src/index.js';

const HOST = '127.0.0.1';
const OK = 'HTTP/1.1 200 OK\r\n';
const EVENT = 'data: {"choices":[{"delta":{"content":"a"}}]}\n\n';
const DONE = 'data: [DONE]\n\n';

const formatChunk = (text: string): string =>
  `${text.length.toString(16)}\r\n${text}\r\n`;
const CHUNKED = `${OK}Transfer-Encoding: chunked\r\n\r\n${formatChunk(EVENT)}`;

const end = (socket: Socket): void => void socket.end();
const reset = (socket: Socket): void => void socket.resetAndDestroy();

const CHATS = [
  {
    name: 'with its last event',
    text: OK + '\r\n' + EVENT + DONE,
    isWhole: true,
  },
  {
    name: 'in chunks, with its last event',
    text: `${CHUNKED}${formatChunk(DONE)}0\r\n\r\n`,
    isWhole: true,
  },
  {name: 'in chunks, cut off', text: CHUNKED},
  {name: 'in chunks, without its last event', text: `${CHUNKED}0\r\n\r\n`},
  {name: 'without its last event', text: `${OK}\r\n${EVENT}`},
  {name: 'that ends inside an event', text: `${OK}\r\n${EVENT}data: {"c`},
  {name: 'that is reset', text: `${OK}\r\n${EVENT}`, close: reset},
];

const CALLS = [
  {
    name: 'with a length',
    text: `${OK}Content-Length: 1\r\n\r\na`,
    isWhole: true,
  },
  {name: 'shorter than its length', text: `${OK}Content-Length: 2\r\n\r\na`},
  {name: 'that is reset', text: `${OK}\r\na`, close: reset},
];

describe('a response to a client of the fleet', () => {
  let text = '';
  let close = end;
  const server = createServer(socket => {
    socket.on('error', () => undefined);
    socket.once('data', () => socket.write(text, () => close(socket)));
  });
  let client: ApiClient;

  before(async () => {
    server.listen(0, HOST);
    await once(server, 'listening');
  });

  after(() => server.close());

  beforeEach(() => {
    const {port} = server.address() as AddressInfo;
    client = new ApiClient({host: HOST, port});
  });

  afterEach(() => client.close());

  /** Whether a call looks as if its response were complete. */
  async function looksWhole(call: () => Promise<object>): Promise<boolean> {
    const outcome = await call().catch(() => undefined);
    return (
      outcome !== undefined && !('errorCode' in outcome && outcome.errorCode)
    );
  }

  for (const {name, isWhole = false, ...row} of CHATS) {
    it(`is ${isWhole ? '' : 'not '}complete: a chat ${name}`, async () => {
      ({text, close = end} = row);
      const request = {apiKey: 'k', model: 'm', prompt: 'p', maxTokens: 4};
      assert.equal(await looksWhole(() => client.chat(request)), isWhole);
    });
  }

  for (const {name, isWhole = false, ...row} of CALLS) {
    it(`is ${isWhole ? '' : 'not '}complete: a body ${name}`, async () => {
      ({text, close = end} = row);
      assert.equal(await looksWhole(() => client.call('/x', 'GET')), isWhole);
    });
  }
});
