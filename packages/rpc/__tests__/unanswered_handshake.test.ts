import assert from 'node:assert/strict';
import {once} from 'node:events';
import {createServer, type AddressInfo, type Server} from 'node:net';
import type {Socket} from 'node:net';
import {afterEach, beforeEach, describe, it} from 'node:test';
import type {AnyRouter} from '@trpc/server';
import {RpcClient} from '../src/index.js';

const CALL_TIMEOUT_MS = 50;

// The connection of a closed client stayed open, and kept its process alive.
describe('a host that accepts connections and opens no WebSocket', () => {
  let server: Server;
  let client: RpcClient<AnyRouter>;
  let sockets: Socket[];

  beforeEach(async () => {
    sockets = [];
    server = createServer(socket => {
      socket.on('error', () => undefined);
      socket.resume();
      sockets.push(socket);
    });
    server.listen(0, '127.0.0.1');
    await once(server, 'listening');
    const {port} = server.address() as AddressInfo;
    client = new RpcClient<AnyRouter>({address: {host: '127.0.0.1', port}});
  });

  afterEach(() => {
    for (const socket of sockets) socket.destroy();
    server.close();
  });

  const CASES = [
    {name: 'a client that is closed', calls: 0},
    {name: 'a client that is closed after a call without an answer', calls: 1},
  ];
  for (const {name, calls} of CASES) {
    it(`loses the connection of ${name}`, async () => {
      if (sockets.length === 0) await once(server, 'connection');
      for (let call = 0; call < calls; call++) {
        const result = await client.call(
          (_api, signal) =>
            new Promise((_resolve, reject) =>
              signal.addEventListener('abort', () => reject(new Error('late'))),
            ),
          CALL_TIMEOUT_MS,
        );
        assert.ok(!result.ok);
      }
      const closed = Promise.all(sockets.map(socket => once(socket, 'close')));
      client.close();
      await closed;
    });
  }
});
