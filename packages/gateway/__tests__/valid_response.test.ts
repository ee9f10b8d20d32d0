import assert from 'node:assert/strict';
import {once} from 'node:events';
import {createServer, type AddressInfo} from 'node:net';
import {after, before, describe, it} from 'node:test';
import {ConnectionPool} from '../src/connection/connection_pool.js';

const HOST = '127.0.0.1';
const SOUND = 'HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nfirst';

const CASES = [
  {name: '304', text: 'HTTP/1.1 304 X\r\n\r\n', status: 304, body: ''},
  // It may state the length of a body that it has not (RFC 9110, section 8.6).
  {
    name: '304 with the length of the body of a 200',
    text: 'HTTP/1.1 304 X\r\nContent-Length: 5\r\n\r\n',
    status: 304,
    body: '',
  },
  {
    name: '103, then a response',
    text: `HTTP/1.1 103 X\r\n\r\n${SOUND}`,
    status: 200,
    body: 'first',
  },
  // A client has to read one that it did not ask for (RFC 9110, section 15.2).
  {
    name: '100, then a response',
    text: `HTTP/1.1 100 X\r\n\r\n${SOUND}`,
    status: 200,
    body: 'first',
  },
];

describe('a valid response', () => {
  let text = '';
  const server = createServer(socket => {
    socket.on('error', () => undefined);
    socket.once('data', () => socket.end(text));
  });

  before(async () => {
    server.listen(0, HOST);
    await once(server, 'listening');
  });

  after(() => server.close());

  for (const {name, status, body, ...row} of CASES) {
    it(`is complete: ${name}`, async () => {
      ({text} = row);
      const {port} = server.address() as AddressInfo;
      const pool = new ConnectionPool({host: HOST, port});
      const request = {method: 'GET' as const, path: '/', headers: []};
      const exchange = pool.send(request, true);
      const head = await exchange.head();
      assert.ok(head.ok, head.ok ? '' : head.error.reason);
      assert.equal(head.value.status, status);
      let received = '';
      for (;;) {
        const chunk = await exchange.read();
        assert.ok(chunk.ok, chunk.ok ? '' : chunk.error.reason);
        if (!chunk.value) break;
        received += String(chunk.value);
      }
      assert.equal(received, body);
    });
  }
});
