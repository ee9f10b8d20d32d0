import assert from 'node:assert/strict';
import {createServer, type Server} from 'node:http';
import type {AddressInfo} from 'node:net';
import {after, before, describe, it} from 'node:test';
import {sleep} from '@vanillamux/shared';
import {ConnectionPool} from '../src/connection/connection_pool.js';

const HOST = '127.0.0.1';
/** Time in which a reusable connection returns to its pool. */
const RELEASE_DELAY_MS = 20;

const CASES = [
  {useNewConnection: true, connections: 3},
  {useNewConnection: false, connections: 1},
];

/** Hosts that an announcement may contain and that no URL can. */
const INVALID_HOSTS = ['::1', 'a b', 'a/b', '256.0.0.1'];

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

  for (const {useNewConnection, connections: expected} of CASES) {
    it(`opens ${expected} for three requests, useNewConnection ${useNewConnection}`, async () => {
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

  for (const host of INVALID_HOSTS) {
    it(`does not throw for a backend server at the host "${host}"`, async () => {
      const pool = new ConnectionPool({host, port: 80});
      const request = {method: 'GET' as const, path: '/', headers: []};
      const head = await pool.send(request).head();
      assert.ok(!head.ok);
      assert.equal(head.error.mayHaveBeenSent, false);
    });
  }
});

type Reader = ReturnType<ConnectionPool['send']>;

async function readChunk(exchange: Reader): Promise<Buffer | undefined> {
  const chunk = await exchange.read();
  assert.ok(chunk.ok);
  return chunk.value;
}
