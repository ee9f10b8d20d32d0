import assert from 'node:assert/strict';
import {once} from 'node:events';
import type {Server} from 'node:http';
import {connect, type Socket} from 'node:net';
import {after, before, describe, it} from 'node:test';
import {listen} from '@vanillamux/shared';
import {createEngineServer} from '../src/engine_server.js';
import {FaultInjector} from '../src/fault_injector.js';
import type {MockEngine} from '../src/mock_engine.js';
import {OrderExecutor} from '../src/order_executor.js';
import {createServiceServer} from '../src/service_server.js';

const HOST = '127.0.0.1';
const MODELS = ['m'];
const ORDER = JSON.stringify({fencing: 1, model: 'other'});
const HEAD = 'POST /v1/orders HTTP/1.1\r\nHost: a\r\n';

/** Requests of which only a part arrives. */
const PARTS = [
  {name: 'with a length', text: `${HEAD}Content-Length: 999\r\n\r\n${ORDER}`},
  {
    name: 'in chunks',
    text: `${HEAD}Transfer-Encoding: chunked\r\n\r\n${ORDER.length.toString(16)}\r\n${ORDER}\r\n`,
  },
];
const ENDS = [
  {name: 'ended', end: (socket: Socket) => void socket.end()},
  {name: 'reset', end: (socket: Socket) => void socket.resetAndDestroy()},
];

const faults = new FaultInjector();
const orderExecutor = new OrderExecutor(MODELS, true);
const SERVERS = [
  {
    name: 'an engine',
    server: createEngineServer({
      engine: {} as MockEngine,
      faults,
      orderExecutor,
    }),
  },
  {name: 'a service', server: createServiceServer('service-1', faults)},
];

async function startServer(server: Server): Promise<number> {
  const port = await listen(server, {host: HOST, port: 0});
  if (!port.ok) throw port.error;
  return port.value;
}

for (const {name: peer, server} of SERVERS) {
  describe(`a part of a request to ${peer}`, () => {
    let port: number;

    before(async () => {
      port = await startServer(server);
    });

    after(() => {
      server.close();
      server.closeAllConnections();
    });

    for (const {name: part, text} of PARTS) {
      for (const {name: how, end} of ENDS) {
        it(`is neither executed nor stops the server: ${part}, ${how}`, async () => {
          const arrived = once(server, 'request');
          const socket = connect(port, HOST);
          socket.on('error', () => undefined);
          socket.write(text);
          const [req] = (await arrived) as [Socket];
          const closed = once(req, 'close').catch(() => undefined);
          end(socket);
          await closed;
          const res = await fetch(`http://${HOST}:${port}/executions`);
          const body = await res.text();
          if (peer === 'a service') assert.equal(body, '[]');
          assert.deepEqual(orderExecutor.models, MODELS);
        });
      }
    }
  });
}
