import assert from 'node:assert/strict';
import {createServer, type Server} from 'node:http';
import type {AddressInfo} from 'node:net';
import {after, before, describe, it} from 'node:test';
import {sleep} from '@vanillamux/shared';
import {ConnectionPool} from '../src/connection/connection_pool.js';

const HOST = '127.0.0.1';
/** Lets a connection that has become free return to its pool. */
const RELEASE_DELAY_MS = 20;

const CASES = [
  {useNewConnection: true, connections: 3},
  {useNewConnection: false, connections: 1},
];

describe('ConnectionPool', () => {
  let server: Server;
  let connections = 0;

  before(async () => {
    server = createServer((req, res) => res.end('ok'));
    server.on('connection', () => connections++);
    await new Promise<void>(resolve => server.listen(0, HOST, resolve));
  });

  after(() => {
    server.close();
    server.closeAllConnections();
  });

  for (const {
    useNewConnection: useNewConnection,
    connections: expected,
  } of CASES) {
    it(`opens ${expected} for three requests with fresh ${useNewConnection}`, async () => {
      const {port} = server.address() as AddressInfo;
      const pool = new ConnectionPool({host: HOST, port});
      connections = 0;
      for (let number = 0; number < 3; number++) {
        const request = {method: 'GET' as const, path: '/', headers: []};
        const exchange = pool.send(request, useNewConnection);
        const head = await exchange.head();
        assert.ok(head.ok);
        while ((await readChunk(exchange)) !== undefined);
        await sleep(RELEASE_DELAY_MS);
      }
      pool.close();
      assert.equal(connections, expected);
    });
  }
});

type Reader = ReturnType<ConnectionPool['send']>;

async function readChunk(exchange: Reader): Promise<Buffer | undefined> {
  const chunk = await exchange.read();
  assert.ok(chunk.ok);
  return chunk.value;
}
