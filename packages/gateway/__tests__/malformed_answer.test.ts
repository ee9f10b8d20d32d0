import assert from 'node:assert/strict';
import {once} from 'node:events';
import {createServer, type AddressInfo, type Socket} from 'node:net';
import {describe, it} from 'node:test';
import {ConnectionPool} from '../src/connection/connection_pool.js';

const HOST = '127.0.0.1';

interface Case {
  readonly name: string;
  readonly respond: (socket: Socket) => void;
  readonly hasAnswered: boolean;
}

const write =
  (text: string) =>
  (socket: Socket): void =>
    void socket.write(text, 'latin1');

const CASES: readonly Case[] = [
  {
    name: 'status 000',
    respond: write('HTTP/1.1 000 X\r\n\r\n'),
    hasAnswered: true,
  },
  {
    name: 'status 600',
    respond: write('HTTP/1.1 600 X\r\n\r\n'),
    hasAnswered: true,
  },
  {
    name: 'a control byte in the name of a field',
    respond: write('HTTP/1.1 200 X\r\nX\x01Y: 1\r\n\r\n'),
    hasAnswered: true,
  },
  {
    name: 'a transfer coding that is not supported',
    respond: write('HTTP/1.1 200 X\r\nTransfer-Encoding: gzip\r\n\r\n'),
    hasAnswered: true,
  },
  {
    name: 'an end before a head',
    respond: socket => void socket.end(),
    hasAnswered: false,
  },
  {
    name: 'a reset before a head',
    respond: socket => void socket.resetAndDestroy(),
    hasAnswered: false,
  },
];

// A host that is answered, in whatever form, is not cut off from the server.
describe('a response without a sound head', () => {
  for (const {name, respond, hasAnswered} of CASES) {
    const sign = hasAnswered ? 'a sign' : 'no sign';
    it(`is ${sign} that the server is within reach: ${name}`, async () => {
      const server = createServer(socket => {
        socket.on('error', () => undefined);
        socket.once('data', () => respond(socket));
      });
      server.listen(0, HOST);
      await once(server, 'listening');
      const {port} = server.address() as AddressInfo;
      const pool = new ConnectionPool({host: HOST, port});
      const request = {method: 'GET' as const, path: '/', headers: []};
      const head = await pool.send(request, true).head();
      server.close();
      assert.ok(!head.ok);
      assert.equal(head.error.hasAnswered, hasAnswered);
    });
  }
});
