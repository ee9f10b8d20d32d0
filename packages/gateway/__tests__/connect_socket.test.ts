import assert from 'node:assert/strict';
import {syncBuiltinESMExports} from 'node:module';
import net, {
  createServer,
  Socket,
  type AddressInfo,
  type Server,
} from 'node:net';
import {after, afterEach, before, describe, it, mock} from 'node:test';
import {setImmediate} from 'node:timers/promises';
import {connectSocket} from '../src/connection/connect_socket.js';

const HOST = '127.0.0.1';
const TIMEOUT_MS = 120;

describe('a connection', () => {
  let server: Server;
  let port: number;

  before(async () => {
    server = createServer(socket => socket.destroy());
    await new Promise<void>(resolve => server.listen(0, HOST, resolve));
    ({port} = server.address() as AddressInfo);
  });

  afterEach(() => {
    mock.restoreAll();
    mock.timers.reset();
    syncBuiltinESMExports();
  });

  after(() => server.close());

  /** Resolves to the error, or to `undefined` once the connection is open. */
  function connect(to: number): Promise<NodeJS.ErrnoException | undefined> {
    return new Promise(resolve =>
      connectSocket(
        {hostname: HOST, port: String(to), protocol: 'http:'},
        (error, socket) => {
          socket?.destroy();
          resolve(error ?? undefined);
        },
      ),
    );
  }

  it('is opened', async () => {
    assert.equal(await connect(port), undefined);
  });

  it('that is refused fails', async () => {
    const closed = createServer();
    await new Promise<void>(resolve => closed.listen(0, HOST, resolve));
    const {port: closedPort} = closed.address() as AddressInfo;
    await new Promise(resolve => closed.close(resolve));
    assert.equal((await connect(closedPort))?.code, 'ECONNREFUSED');
  });

  it('that hangs fails after its timeout, and not half a second later', async () => {
    mock.method(net, 'connect', () => new Socket());
    syncBuiltinESMExports();
    mock.timers.enable({apis: ['setTimeout']});
    const results: Array<Error | null> = [];
    connectSocket(
      {hostname: HOST, port: String(port), protocol: 'http:'},
      (...[error]) => void results.push(error),
    );
    mock.timers.tick(TIMEOUT_MS - 1);
    await setImmediate();
    assert.deepEqual(results, []);
    mock.timers.tick(1);
    for (let turn = 0; turn < 3; turn++) await setImmediate();
    const [error] = results as Array<NodeJS.ErrnoException | undefined>;
    assert.equal(error?.code, 'ETIMEDOUT');
  });
});
