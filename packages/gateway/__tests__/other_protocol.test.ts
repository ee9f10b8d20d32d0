import assert from 'node:assert/strict';
import {once} from 'node:events';
import {createServer, type AddressInfo} from 'node:net';
import {after, before, describe, it} from 'node:test';
import {ConnectionPool} from '../src/connection/connection_pool.js';

const HOST = '127.0.0.1';
const SIZED = 'Content-Length: 5\r\n\r\nfirst';

const CASES = [
  {protocol: 'HTTP/1.1', isAccepted: true},
  {protocol: 'HTTP/1.0', isAccepted: true},
  {protocol: 'HTTP/0.9', isAccepted: false},
  {protocol: 'HTTP/1.2', isAccepted: false},
  {protocol: 'HTTP/2.0', isAccepted: false},
  {protocol: 'RTSP/1.0', isAccepted: false},
  {protocol: 'ICE/1.0', isAccepted: false},
];

describe('a response in another protocol', () => {
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

  for (const {protocol, isAccepted} of CASES) {
    it(`is ${isAccepted ? 'one' : 'none'}: ${protocol}`, async () => {
      text = `${protocol} 200 OK\r\n${SIZED}`;
      const {port} = server.address() as AddressInfo;
      const pool = new ConnectionPool({host: HOST, port});
      const request = {method: 'GET' as const, path: '/', headers: []};
      const head = await pool.send(request, true).head();
      assert.equal(head.ok, isAccepted);
    });
  }
});
