import assert from 'node:assert/strict';
import {
  createServer,
  type AddressInfo,
  type Server,
  type Socket,
} from 'node:net';
import {after, before, describe, it} from 'node:test';
import {ConnectionPools} from '../src/connection/connection_pools.js';
import type {Dialect} from '../src/dialect/dialect.js';
import {Backend} from '../src/fleet/backend.js';
import {MemoryReservationManager} from '../src/memory/memory_reservation_manager.js';
import {createPresence} from './create_backend.js';
import {sendEndlessly} from './send_endlessly.js';

const HOST = '127.0.0.1';
const MAX_RECEIVED_BYTES = 1_024 * 1_024;

const CASES = [
  {name: 'status line', start: 'HTTP/1.1 200 ', piece: 'a'},
  {
    name: 'interim responses',
    start: '',
    piece: 'HTTP/1.1 102 Processing\r\n\r\n',
  },
  {
    name: 'chunk extension',
    start: 'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5;',
    piece: 'a',
  },
  {name: 'body', start: 'HTTP/1.1 409 Any\r\n\r\n', piece: 'a'},
];

describe('MemoryReservationManager', () => {
  let server: Server;
  let respond: (socket: Socket) => void = () => undefined;

  before(async () => {
    server = createServer(socket => {
      socket.on('error', () => undefined);
      socket.once('data', () => respond(socket));
    });
    await new Promise<void>(resolve => server.listen(0, HOST, resolve));
  });

  after(() => server.close());

  for (const {name, start, piece} of CASES) {
    it(`closes the connection of an order whose response has an endless ${name}`, async () => {
      const firstSentBytes = new Promise<number>(resolve => {
        respond = socket => resolve(sendEndlessly(socket, start, piece));
      });
      const dialect = {
        writeReservationCommand: () => ({path: '/', headers: [], body: '{}'}),
        readResponse: () => ({}),
      } as unknown as Dialect;
      const {port} = server.address() as AddressInfo;
      const backend = new Backend(
        createPresence({address: {host: HOST, port}}),
      );
      const connections = new ConnectionPools();
      const manager = new MemoryReservationManager({
        dialect,
        connections,
        backendSignals: {learn: () => {}},
      });
      await manager.reserve([{backend, tokens: 1}]);
      connections.close();
      const sentBytes = await firstSentBytes;
      assert.ok(sentBytes <= MAX_RECEIVED_BYTES, `${sentBytes}`);
    });
  }
});
