import assert from 'node:assert/strict';
import {createServer, type Server} from 'node:http';
import type {AddressInfo, Socket} from 'node:net';
import {afterEach, beforeEach, describe, it} from 'node:test';
import {Deferred, listen} from '@vanillamux/shared';
import {rpcBuilder, RpcClient, serveRpc} from '../src/index.js';

const SHORT_MS = 30;
const CALLS = 4;
const {procedure, router} = rpcBuilder;
const testRouter = router({
  echo: procedure.query(() => 'echo'),
  hang: procedure.query(() => new Promise<never>(() => {})),
});

describe('a client whose calls have no response in time', () => {
  let server: Server;
  let sockets: Socket[];
  let closeRpc: () => void;
  let client: RpcClient<typeof testRouter>;

  beforeEach(async () => {
    server = createServer();
    sockets = [];
    server.on('connection', socket => sockets.push(socket));
    closeRpc = serveRpc(server, testRouter);
    await listen(server, {host: '127.0.0.1', port: 0});
    const {port} = server.address() as AddressInfo;
    client = new RpcClient({address: {host: '127.0.0.1', port}});
  });

  afterEach(() => {
    client.close();
    closeRpc();
    server.close();
    server.closeAllConnections();
  });

  it('does not give up a connection that a busy host has yet to open', async () => {
    const isFree = new Deferred<void>();
    const [openSocket] = server.listeners('upgrade') as Array<
      (...args: unknown[]) => void
    >;
    server.removeAllListeners('upgrade');
    server.on('upgrade', (...args) => {
      void isFree.promise.then(() => openSocket!(...args));
    });
    for (let call = 0; call < CALLS; call++)
      assert.ok(
        !(
          await client.call(
            (api, signal) => api.echo.query(undefined, {signal}),
            SHORT_MS,
          )
        ).ok,
      );
    isFree.resolve();
    assert.ok((await client.call(api => api.echo.query())).ok);
    assert.equal(sockets.length, 1);
  });

  it('keeps a connection that delivers other responses', async () => {
    assert.ok((await client.call(api => api.echo.query())).ok);
    const hanging = client.call(
      (api, signal) => api.hang.query(undefined, {signal}),
      SHORT_MS,
    );
    let hasEnded = false;
    void hanging.then(() => (hasEnded = true));
    while (!hasEnded)
      assert.ok((await client.call(api => api.echo.query())).ok);
    assert.ok((await client.call(api => api.echo.query())).ok);
    assert.equal(sockets.length, 1);
  });

  it('replaces a connection that delivers nothing', async () => {
    assert.ok((await client.call(api => api.echo.query())).ok);
    sockets[0]!.pause();
    const result = await client.call(
      (api, signal) => api.echo.query(undefined, {signal}),
      SHORT_MS,
    );
    assert.ok(!result.ok);
    assert.ok((await client.call(api => api.echo.query())).ok);
    assert.equal(sockets.length, 2);
  });
});
