import assert from 'node:assert/strict';
import {once} from 'node:events';
import {connect, type AddressInfo, createServer} from 'node:net';
import {afterEach, beforeEach, describe, it} from 'node:test';
import {EntryServer, entrySettingsSchema} from '../src/index.js';

const HOST = '127.0.0.1';
const DRAIN_NOTICE_MS = 500;
const HEADS = /HTTP\/1\.1 (\d+)[^]*?\r\nConnection: (\S+)\r\n/gi;

const CASES = [
  {request: 'GET /v1/models', body: '', status: 200},
  {request: 'GET /readyz', body: '', status: 503},
  {request: 'GET /nothing', body: '', status: 404},
  {request: 'POST /v1/chat/completions', body: '{}', status: 503},
  {request: 'POST /services/claims/x', body: '{}', status: 503},
];

/** Returns a port that nothing listens on. */
async function findFreePort(): Promise<number> {
  const server = createServer().listen(0, HOST);
  await once(server, 'listening');
  const {port} = server.address() as AddressInfo;
  server.close();
  await once(server, 'close');
  return port;
}

// A client that did not know that its connection closes lost its next request.
describe('a stop of an entry host whose clients keep their connections', () => {
  let server: EntryServer;
  let port: number;

  beforeEach(async () => {
    port = await findFreePort();
    const started = await EntryServer.start(
      entrySettingsSchema.parse({
        id: 'entry-1',
        failureDomain: 'fd-a',
        listen: `${HOST}:${port}`,
        internal: `${HOST}:${await findFreePort()}`,
        control: [`${HOST}:${await findFreePort()}`],
        drainNoticeMs: DRAIN_NOTICE_MS,
      }),
    );
    assert.ok(started.ok);
    server = started.value;
  });

  let stopped: Promise<void> | undefined;

  afterEach(async () => {
    await (stopped ?? server.stop());
    stopped = undefined;
  });

  for (const {request, body, status} of CASES) {
    it(`says that the connection closes: ${request}, status ${status}`, async () => {
      const socket = connect(port, HOST);
      let received = '';
      socket.on('data', bytes => (received += String(bytes)));
      const closed = once(socket, 'close');
      const text = `${request} HTTP/1.1\r\nHost: entry\r\nContent-Length: ${body.length}\r\n\r\n${body}`;
      await once(socket, 'connect');
      stopped = server.stop();
      socket.write(text);
      await closed;
      const heads = [...received.matchAll(HEADS)].map(([, ...head]) => head);
      assert.deepEqual(heads, [[String(status), 'close']], received);
    });
  }
});
