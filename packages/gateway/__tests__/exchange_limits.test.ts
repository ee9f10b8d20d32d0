import assert from 'node:assert/strict';
import {
  createServer,
  type AddressInfo,
  type Server,
  type Socket,
} from 'node:net';
import {after, before, describe, it} from 'node:test';
import {ConnectionPool} from '../src/connection/connection_pool.js';
import {sendEndlessly} from './send_endlessly.js';

const HOST = '127.0.0.1';
const HEAD = 'HTTP/1.1 200 OK\r\n';
const CHUNKED_HEAD = `${HEAD}Transfer-Encoding: chunked\r\n\r\n`;
const ANSWER = `${HEAD}Content-Length: 2\r\n\r\nok`;
const INTERIM = 'HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n';
const MIB = 1_024 * 1_024;

/** Responses of sound servers, with the body that is received. */
const SOUND_CASES = [
  {
    name: 'a head of 60 KB',
    bytes: `${HEAD}X-Field: ${'a'.repeat(60_000)}\r\nContent-Length: 2\r\n\r\nok`,
    body: 'ok',
  },
  {
    name: 'a hundred interim responses',
    bytes: INTERIM.repeat(100) + ANSWER,
    body: 'ok',
  },
  {
    name: 'a body in chunks of one byte',
    bytes: `${CHUNKED_HEAD}${'1\r\na\r\n'.repeat(100_000)}0\r\n\r\n`,
    body: 'a'.repeat(100_000),
  },
  {
    name: 'trailers of 60 KB',
    bytes: `${CHUNKED_HEAD}2\r\nok\r\n0\r\nX-Field: ${'a'.repeat(60_000)}\r\n\r\n`,
    body: 'ok',
  },
];

/** Bodies that are kept whole, and the reason for which one fails. */
const BODY_CASES = [
  {size: 8 * MIB, reason: undefined},
  {size: 8 * MIB + 1, reason: 'a body of more than 8388608 bytes'},
];

/** Bytes that the server sends without end on a connection. */
const ENDLESS_CASES = [
  {name: 'blank lines as the response', start: '', piece: '\r\n'},
  {name: 'interim responses', start: '', piece: INTERIM},
  {name: 'blank lines after a response', start: ANSWER, piece: '\r\n'},
];

describe('Exchange', () => {
  let server: Server;
  let respond: (socket: Socket) => void = () => undefined;
  let pool: ConnectionPool;

  before(async () => {
    server = createServer(socket => {
      socket.on('error', () => undefined);
      socket.once('data', () => respond(socket));
    });
    await new Promise<void>(resolve => server.listen(0, HOST, resolve));
    const {port} = server.address() as AddressInfo;
    pool = new ConnectionPool({host: HOST, port});
  });

  after(() => {
    pool.close();
    server.close();
  });

  for (const {name, bytes, body} of SOUND_CASES) {
    it(`receives ${name}`, async () => {
      respond = socket => socket.write(bytes);
      const exchange = pool.send({method: 'GET', path: '/', headers: []}, true);
      assert.ok((await exchange.head()).ok);
      assert.equal(await readBody(exchange), body);
    });
  }

  for (const {size, reason} of BODY_CASES) {
    it(`keeps a body of ${size} bytes whole: ${!reason}`, async () => {
      const head = `${HEAD}Content-Length: ${size}\r\n\r\n`;
      respond = socket => socket.write(head + 'a'.repeat(size));
      const exchange = pool.send({method: 'GET', path: '/', headers: []}, true);
      assert.ok((await exchange.head()).ok);
      exchange.limitBody();
      let result = await exchange.read();
      while (result.ok && result.value) result = await exchange.read();
      assert.equal(result.ok ? undefined : result.error.reason, reason);
    });
  }

  for (const {name, start, piece} of ENDLESS_CASES) {
    it(`closes a connection that carries endless ${name}`, async () => {
      const sentBytes = new Promise<number>(resolve => {
        respond = socket => resolve(sendEndlessly(socket, start, piece));
      });
      pool.send({method: 'GET', path: '/', headers: []});
      assert.ok((await sentBytes) <= MIB, `${await sentBytes}`);
    });
  }
});

async function readBody(
  exchange: ReturnType<ConnectionPool['send']>,
): Promise<string> {
  let body = '';
  for (;;) {
    const result = await exchange.read();
    assert.ok(result.ok);
    if (!result.value) return body;
    body += result.value.toString();
  }
}
