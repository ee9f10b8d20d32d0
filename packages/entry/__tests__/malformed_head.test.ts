import assert from 'node:assert/strict';
import {createServer, type AddressInfo, type Server} from 'node:net';
import {after, afterEach, before, beforeEach, describe, it} from 'node:test';
import {FrameKind, type GenerateRequest} from '@vanillamux/protocol';
import {RunState, type Address, type Result} from '@vanillamux/shared';
import {EngineClient} from '../src/engine_client.js';
import {ServiceClient} from '../src/service_client.js';

const HOST = '127.0.0.1';
const CALL_TIMEOUT_MS = 5_000;
const OK = 'HTTP/1.1 200 OK\r\n';
const CHUNKED = 'Transfer-Encoding: chunked\r\n';
/** A frame, so that an engine's body is read as far as a service's. */
const BODY = `${JSON.stringify({
  kind: FrameKind.Token,
  requestId: 'request-1',
  attempt: 1,
  index: 0,
  text: 'malformed',
})}\n`;
const LENGTH = BODY.length;
const HEX_LENGTH = LENGTH.toString(16);
const SIZED = `Content-Length: ${LENGTH}\r\n`;

interface Clients {
  readonly engines: EngineClient;
  readonly services: ServiceClient;
}

/** Reads a response; returns what it read of a successful one. */
type Call = (
  clients: Clients,
  address: Address,
  signal: AbortSignal,
) => Promise<Result<unknown>>;

const callService: Call = ({services}, address, signal) =>
  services.send(
    address,
    {
      method: 'GET',
      path: '/x',
      headers: {},
      body: Buffer.alloc(0),
      requestId: 'request-1',
    },
    signal,
  );

const generate: Call = async ({engines}, address, signal) => {
  const body = {requestId: 'request-1', attempt: 1} as GenerateRequest;
  const frames = await engines.generate(address, body, signal);
  if (!frames.ok) return frames;
  const texts: unknown[] = [];
  try {
    for await (const {text} of frames.value) texts.push(text);
  } catch {
    // The attempt resumes a stream that has broken off.
  }
  return {ok: true, value: texts};
};

const cancel: Call = ({engines}, address) =>
  engines.cancel(address, {requestId: 'request-1', attempt: 1});

const HEADS = [
  ...[
    'HTTP/1.1 000 OK',
    'HTTP/1.1 099 OK',
    'HTTP/1.1 0200 OK',
    'HTTP/1.1 20 OK',
    'HTTP/1.1 2x0 OK',
    'HTTP/1.1 600 OK',
    'HTTP/1.1 999 OK',
    'HTTP/1.1',
    'HTTP/1.1 200 O\x00K',
    'HTTP/1.1 200 O\x01K',
    'HTTP/1.1 200 O\x7fK',
  ].map(line => `${line}\r\n${SIZED}\r\n`),
  ...[
    'X Y: 1',
    'X\x00Y: 1',
    'X\x01Y: 1',
    'X : 1',
    ': 1',
    'X: 1\r\n 2',
    'X: 1\x002',
    'X: 1\x012',
    'X: 1\r2',
    'Content-Length: 1',
    CHUNKED.trimEnd(),
  ].map(line => `${OK}${line}\r\n${SIZED}\r\n`),
  ...[
    `Content-Length: -${LENGTH}`,
    `Content-Length: +${LENGTH}`,
    'Content-Length: 9'.padEnd(40, '9'),
    'Transfer-Encoding: x',
    'Transfer-Encoding: gzip',
    'Transfer-Encoding:',
  ].map(framing => `${OK}${framing}\r\n\r\n`),
  ...[
    'Transfer-Encoding: x, chunked',
    'Transfer-Encoding: chunked, x',
    `${CHUNKED}Transfer-Encoding: x`,
  ].map(framing => `${OK}${framing}\r\n\r\n${HEX_LENGTH}\r\n`),
];

const CHUNK_SIZES = [
  '',
  'x',
  `-${HEX_LENGTH}`,
  `+${HEX_LENGTH}`,
  'f'.repeat(17),
];

const CALLS = [
  {name: 'a service', call: callService},
  {name: 'an engine', call: generate},
  {name: 'a cancellation', call: cancel},
];

describe('a malformed response', () => {
  let text = '';
  let server: Server;
  let address: Address;
  let clients: Clients;

  before(async () => {
    server = createServer(socket => {
      socket.on('error', () => undefined);
      socket.once('data', () => socket.end(text, 'latin1'));
    });
    await new Promise<void>(resolve => server.listen(0, HOST, resolve));
    address = {host: HOST, port: (server.address() as AddressInfo).port};
  });

  after(() => server.close());

  beforeEach(() => {
    clients = {engines: new EngineClient(), services: new ServiceClient()};
  });

  afterEach(async () => {
    await clients.engines.close();
    await clients.services.close();
  });

  it('is told from a sound one', async () => {
    text = `${OK}${SIZED}\r\n${BODY}`;
    const signal = AbortSignal.timeout(CALL_TIMEOUT_MS);
    const frames = await generate(clients, address, signal);
    assert.deepEqual(frames, {ok: true, value: ['malformed']});
    assert.ok((await callService(clients, address, signal)).ok);
    assert.ok((await cancel(clients, address, signal)).ok);
  });

  for (const {name, call} of CALLS) {
    for (const head of HEADS) {
      it(`is a failure of ${name}: ${JSON.stringify(head)}`, async () => {
        text = `${head}${BODY}\r\n0\r\n\r\n`;
        const signal = AbortSignal.timeout(CALL_TIMEOUT_MS);
        const result = await call(clients, address, signal);
        assert.ok(!result.ok, JSON.stringify(result));
        assert.equal(result.error.ran, RunState.Unknown);
      });
    }
  }

  for (const size of CHUNK_SIZES) {
    const head = `${OK}${CHUNKED}\r\n${size}\r\n`;

    it(`is a failure of a service: chunk size ${JSON.stringify(size)}`, async () => {
      text = `${head}${BODY}\r\n0\r\n\r\n`;
      const signal = AbortSignal.timeout(CALL_TIMEOUT_MS);
      const result = await callService(clients, address, signal);
      assert.ok(!result.ok, JSON.stringify(result));
      assert.equal(result.error.ran, RunState.Unknown);
    });

    it(`gives no frame of an engine: chunk size ${JSON.stringify(size)}`, async () => {
      text = `${head}${BODY}\r\n0\r\n\r\n`;
      const signal = AbortSignal.timeout(CALL_TIMEOUT_MS);
      const result = await generate(clients, address, signal);
      if (result.ok) assert.deepEqual(result.value, []);
    });
  }
});
