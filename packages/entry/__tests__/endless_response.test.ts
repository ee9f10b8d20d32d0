import assert from 'node:assert/strict';
import {
  createServer,
  type AddressInfo,
  type Server,
  type Socket,
} from 'node:net';
import {after, afterEach, before, beforeEach, describe, it} from 'node:test';
import type {GenerateRequest} from '@vanillamux/protocol';
import type {Address, Result} from '@vanillamux/shared';
import {EngineClient} from '../src/engine_client.js';
import {ServiceClient} from '../src/service_client.js';

const HOST = '127.0.0.1';
const MIB = 1_024 * 1_024;
/** Far above any limit. */
const MAX_SENT_BYTES = 8 * MIB;
/** Room for bytes under way. */
const MARGIN_BYTES = MIB;
const PIECE_BYTES = 16 * 1_024;
const CALL_TIMEOUT_MS = 5_000;

const HEAD = 'HTTP/1.1 200 OK\r\n';
const CHUNKED_HEAD = `${HEAD}Transfer-Encoding: chunked\r\n\r\n`;
const BODY_HEADERS = 'Content-Length: 1000000000000\r\n\r\n';

type Call = (
  clients: Clients,
  address: Address,
  signal: AbortSignal,
) => Promise<Result<unknown>>;

interface Clients {
  readonly engines: EngineClient;
  readonly services: ServiceClient;
}

interface Case {
  readonly name: string;
  readonly call: Call;
  /** Bytes that are sent once, and those that are sent without end. */
  readonly start: string;
  readonly piece: string;
  readonly limitBytes: number;
}

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
  for await (const frame of frames.value) assert.fail(frame.kind);
  return frames;
};

const cancel: Call = ({engines}, address) =>
  engines.cancel(address, {requestId: 'request-1', attempt: 1});

/** Parts of a response outside its body. */
const FRAMING = [
  {name: 'status line', start: 'HTTP/1.1 200 ', piece: 'a'},
  {name: 'header lines', start: HEAD, piece: 'X-Field: value\r\n'},
  {name: 'header white space', start: `${HEAD}X-Field:`, piece: ' '},
  {
    name: 'interim responses',
    start: '',
    piece: 'HTTP/1.1 102 Processing\r\n\r\n',
  },
  {name: 'blank lines', start: '', piece: '\r\n'},
  {name: 'garbage', start: '', piece: '\x00\x7f(no answer)'},
  {name: 'chunk size', start: CHUNKED_HEAD, piece: '0'},
  {name: 'chunk extension', start: `${CHUNKED_HEAD}5;`, piece: 'a'},
  {
    name: 'trailer white space',
    start: `${CHUNKED_HEAD}0\r\nX-Field:`,
    piece: ' ',
  },
];

const CALLS = [
  {name: 'a service', call: callService},
  {name: 'an engine', call: generate},
];

const FRAMING_CASES = CALLS.flatMap(({name: peer, call}) =>
  FRAMING.map(({name, ...bytes}): Case => ({
    name: `${peer}, ${name}`,
    call,
    limitBytes: 128 * 1_024,
    ...bytes,
  })),
);

const CASES: readonly Case[] = [
  ...FRAMING_CASES,
  {
    name: 'a service, body',
    call: callService,
    start: HEAD + BODY_HEADERS,
    piece: 'a',
    limitBytes: MIB,
  },
  {
    name: 'an engine, frame',
    call: generate,
    start: CHUNKED_HEAD,
    piece: '8\r\naaaaaaaa\r\n',
    limitBytes: 64 * 1_024,
  },
  {
    name: 'an engine, body of a failure',
    call: generate,
    start: `HTTP/1.1 500 Any\r\n${BODY_HEADERS}`,
    piece: 'a',
    limitBytes: 64 * 1_024,
  },
  {
    name: 'an engine, body of a failed cancellation',
    call: cancel,
    start: `HTTP/1.1 500 Any\r\n${BODY_HEADERS}`,
    piece: 'a',
    limitBytes: 64 * 1_024,
  },
  {
    name: 'an engine, body of a cancellation',
    call: cancel,
    start: HEAD + BODY_HEADERS,
    piece: 'a',
    limitBytes: 128 * 1_024,
  },
];

/** Bodies of the largest size that is accepted, in different framing. */
const SOUND_CASES = [
  {
    name: 'with a length',
    bytes: `${HEAD}Content-Length: ${MIB}\r\n\r\n${'a'.repeat(MIB)}`,
  },
  {
    name: 'in chunks of one byte',
    bytes: `${CHUNKED_HEAD}${'1\r\na\r\n'.repeat(MIB)}0\r\n\r\n`,
  },
];

describe('a response that never ends', () => {
  let server: Server;
  let respond: (socket: Socket) => void = () => undefined;
  let clients: Clients;

  before(async () => {
    server = createServer(socket => {
      socket.on('error', () => undefined);
      socket.once('data', () => respond(socket));
    });
    await new Promise<void>(resolve => server.listen(0, HOST, resolve));
  });

  after(() => server.close());

  beforeEach(() => {
    clients = {engines: new EngineClient(), services: new ServiceClient()};
  });

  afterEach(async () => {
    await clients.engines.close();
    await clients.services.close();
  });

  for (const {name, bytes} of SOUND_CASES) {
    it(`is told from a large body ${name}`, async () => {
      respond = socket => socket.write(bytes);
      const {port} = server.address() as AddressInfo;
      const signal = AbortSignal.timeout(CALL_TIMEOUT_MS);
      const result = await callService(clients, {host: HOST, port}, signal);
      assert.ok(result.ok);
      const {body} = result.value as {readonly body: string};
      assert.equal(Buffer.from(body, 'base64').toString(), 'a'.repeat(MIB));
    });
  }

  for (const {name, call, start, piece, limitBytes} of CASES) {
    it(`is cut off at its limit: ${name}`, async () => {
      const sentBytes = new Promise<number>(resolve => {
        respond = socket => resolve(sendEndlessly(socket, start, piece));
      });
      const {port} = server.address() as AddressInfo;
      const signal = AbortSignal.timeout(CALL_TIMEOUT_MS);
      await call(clients, {host: HOST, port}, signal).catch(() => undefined);
      const maxBytes = limitBytes + MARGIN_BYTES;
      assert.ok((await sentBytes) <= maxBytes, `${await sentBytes}`);
    });
  }
});

/** Sends until the caller closes; returns the number of bytes. */
async function sendEndlessly(
  socket: Socket,
  start: string,
  piece: string,
): Promise<number> {
  const pieces = piece.repeat(Math.ceil(PIECE_BYTES / piece.length));
  let sentBytes = start.length;
  socket.write(start);
  while (!socket.destroyed && sentBytes < MAX_SENT_BYTES) {
    sentBytes += pieces.length;
    socket.write(pieces);
    await new Promise(resolve => setImmediate(resolve));
  }
  socket.destroy();
  return sentBytes;
}
