import assert from 'node:assert/strict';
import {once} from 'node:events';
import {createServer, type Server, type ServerResponse} from 'node:http';
import {connect, type AddressInfo, type Socket} from 'node:net';
import {afterEach, beforeEach, describe, it} from 'node:test';
import {pollIo} from '@vanillamux/shared';
import {CallerMonitor, type Caller} from '../src/index.js';

const STALL_MS = 700;
const REQUEST = 'POST / HTTP/1.1\r\nhost: h\r\ncontent-length: 0\r\n\r\n';

const ENDS: ReadonlyArray<{
  readonly name: string;
  readonly end: (socket: Socket) => void;
}> = [
  {name: 'closes its connection', end: socket => socket.end()},
  {name: 'resets its connection', end: socket => socket.resetAndDestroy()},
];

describe('CallerMonitor', () => {
  let server: Server;
  let socket: Socket;
  let stallMs: number;

  beforeEach(async () => {
    stallMs = STALL_MS;
    server = createServer();
    const monitor = new CallerMonitor(server, {longestMs: () => stallMs});
    server.on('request', (req, res) =>
      server.emit('watched', monitor.watch(req, res), res),
    );
    server.listen(0, '127.0.0.1');
    await once(server, 'listening');
    socket = connect((server.address() as AddressInfo).port, '127.0.0.1');
    socket.on('error', () => undefined).resume();
    await once(server, 'connection');
    stallMs = 0;
  });

  afterEach(() => {
    socket.destroy();
    server.close();
  });

  async function send(): Promise<[Caller, ServerResponse]> {
    const watched = once(server, 'watched');
    socket.write(REQUEST);
    return (await watched) as [Caller, ServerResponse];
  }

  for (const {name, end} of ENDS) {
    it(`knows a caller that ${name}`, async () => {
      const [{signal}] = await send();
      assert.ok(!signal.aborted);
      end(socket);
      if (!signal.aborted) await once(signal, 'abort');
    });
  }

  it('keeps no listener after a response', async () => {
    const [{signal}, res] = await send();
    res.end();
    await once(res, 'close');
    socket.end();
    await once(socket, 'close');
    await pollIo();
    assert.ok(!signal.aborted);
  });

  it('counts a stall before the connection for its first request only', async () => {
    const [first, res] = await send();
    assert.ok(first.unreadMs >= STALL_MS);
    res.end();
    await once(res, 'close');
    const [second] = await send();
    assert.equal(second.unreadMs, 0);
  });

  it('counts a stall before a later request', async () => {
    const [, res] = await send();
    res.end();
    await once(res, 'close');
    stallMs = STALL_MS;
    const [second] = await send();
    assert.equal(second.unreadMs, STALL_MS);
  });
});
