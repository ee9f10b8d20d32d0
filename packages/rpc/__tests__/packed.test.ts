import assert from 'node:assert/strict';
import {randomBytes} from 'node:crypto';
import {createServer, type Server} from 'node:http';
import type {AddressInfo, Socket} from 'node:net';
import {after, before, describe, it} from 'node:test';
import {listen} from '@vanillamux/shared';
import {
  packJson,
  rpcBuilder,
  RpcClient,
  serveRpc,
  unpackJson,
} from '../src/index.js';

/** Larger than a packet, and incompressible unless as base64. */
const content = {text: randomBytes(4_096).toString('base64')};
const packed = packJson(content);
const {procedure, router} = rpcBuilder;
const testRouter = router({
  packed: procedure.query(() => ({version: 1, packed})),
  plain: procedure.query(() => ({version: 1, content: packed})),
});

describe('a packed message', () => {
  const server: Server = createServer();
  const sockets: Socket[] = [];
  let closeRpc: () => void;
  let client: RpcClient<typeof testRouter>;

  before(async () => {
    server.on('connection', socket => sockets.push(socket));
    closeRpc = serveRpc(server, testRouter);
    await listen(server, {host: '127.0.0.1', port: 0});
    const {port} = server.address() as AddressInfo;
    client = new RpcClient({address: {host: '127.0.0.1', port}});
    assert.ok((await client.call(api => api.plain.query())).ok);
  });

  after(() => {
    client.close();
    closeRpc();
    server.close();
  });

  /** Bytes that the server sends for a call. */
  async function countBytes(call: () => Promise<unknown>): Promise<number> {
    const before = sockets[0]!.bytesWritten;
    await call();
    return sockets[0]!.bytesWritten - before;
  }

  it('arrives as it was sent', async () => {
    const result = await client.call(api => api.packed.query());
    assert.ok(result.ok);
    const value = unpackJson(result.value.packed);
    assert.deepEqual(value.ok && value.value, content);
  });

  it('is not compressed again', async () => {
    const plain = await countBytes(() => client.call(api => api.plain.query()));
    const sent = await countBytes(() => client.call(api => api.packed.query()));
    assert.ok(plain < packed.length, `${plain} bytes`);
    assert.ok(sent > packed.length, `${sent} bytes`);
  });

  for (const {name, text} of [
    {name: 'damaged', text: packed.slice(0, packed.length / 2)},
    {name: 'not packed', text: 'hello'},
    {name: 'empty', text: ''},
  ]) {
    it(`is an error if it is ${name}`, () => {
      const result = unpackJson(text);
      assert.equal(
        result.ok ? undefined : result.error.code,
        'transport_failed',
      );
    });
  }
});
