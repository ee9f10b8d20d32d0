import assert from 'node:assert/strict';
import {once} from 'node:events';
import {createServer, type AddressInfo, type Socket} from 'node:net';
import {after, before, describe, it} from 'node:test';
import {ConnectionPool} from '../src/connection/connection_pool.js';

const HOST = '127.0.0.1';
/** The last of these pieces exceeds what is buffered of a body. */
const PIECE = 'x'.repeat(10_000);
const PIECES = 27;
const BODY_BYTES = PIECES * PIECE.length;

const CASES = [
  {
    name: 'without a length, ends',
    field: '',
    isReset: false,
    isComplete: true,
  },
  {
    name: 'with a length, ends',
    field: `Connection: close\r\nContent-Length: ${BODY_BYTES}\r\n`,
    isReset: false,
    isComplete: true,
  },
  {
    name: 'with a length and a connection to keep, ends',
    field: `Content-Length: ${BODY_BYTES}\r\n`,
    isReset: false,
    isComplete: true,
  },
  {
    name: 'with a larger length, ends',
    field: `Connection: close\r\nContent-Length: ${BODY_BYTES + 1}\r\n`,
    isReset: false,
    isComplete: false,
  },
  {
    name: 'without a length, is reset',
    field: '',
    isReset: true,
    isComplete: false,
  },
];

// The process ended by an assertion of the undici client.
describe('a connection that ends while its reader is paused', () => {
  let respond: (socket: Socket) => Promise<void>;
  const server = createServer(socket => {
    socket.on('error', () => undefined);
    socket.once('data', () => void respond(socket));
  });

  before(async () => {
    server.listen(0, HOST);
    await once(server, 'listening');
  });

  after(() => server.close());

  for (const {name, field, isReset, isComplete} of CASES) {
    it(`is ${isComplete ? 'complete' : 'incomplete'}: a body ${name}`, async () => {
      const {port} = server.address() as AddressInfo;
      const pool = new ConnectionPool({host: HOST, port});
      const ended = new Promise<void>(resolve => {
        respond = async socket => {
          socket.once('close', () => resolve());
          socket.write(`HTTP/1.1 200 OK\r\n${field}\r\n`);
          for (let piece = 0; piece < PIECES; piece++) {
            await new Promise(sent => socket.write(PIECE, sent));
            // Each piece is read by itself.
            await new Promise(read => setImmediate(read));
          }
          if (isReset) socket.resetAndDestroy();
          else socket.end();
        };
      });
      const request = {method: 'GET' as const, path: '/', headers: []};
      const exchange = pool.send(request);
      assert.ok((await exchange.head()).ok);
      await ended;
      let bytes = 0;
      let isWhole = false;
      for (;;) {
        const chunk = await exchange.read();
        isWhole = chunk.ok;
        if (!chunk.ok || !chunk.value) break;
        bytes += chunk.value.length;
      }
      assert.equal(isWhole, isComplete);
      if (isComplete) assert.equal(bytes, BODY_BYTES);
      pool.close();
    });
  }
});
