import assert from 'node:assert/strict';
import {once} from 'node:events';
import {createServer, type AddressInfo} from 'node:net';
import {after, afterEach, before, beforeEach, describe, it} from 'node:test';
import {EngineClient} from '../src/engine_client.js';
import {ServiceClient} from '../src/service_client.js';

const HOST = '127.0.0.1';
const CALL_TIMEOUT_MS = 5_000;
const SIZED = 'Content-Length: 2\r\n\r\n{}';

const CASES = [
  {protocol: 'HTTP/1.1', isAccepted: true},
  {protocol: 'HTTP/1.0', isAccepted: true},
  {protocol: 'HTTP/0.9', isAccepted: false},
  {protocol: 'HTTP/1.2', isAccepted: false},
  {protocol: 'HTTP/2.0', isAccepted: false},
  {protocol: 'RTSP/1.0', isAccepted: false},
  {protocol: 'ICE/1.0', isAccepted: false},
];

describe('a response in another protocol', () => {
  let text = '';
  const server = createServer(socket => {
    socket.on('error', () => undefined);
    socket.once('data', () => socket.end(text));
  });
  let engines: EngineClient;
  let services: ServiceClient;

  before(async () => {
    server.listen(0, HOST);
    await once(server, 'listening');
  });

  after(() => server.close());

  beforeEach(() => {
    engines = new EngineClient();
    services = new ServiceClient();
  });

  afterEach(async () => {
    await engines.close();
    await services.close();
  });

  for (const {protocol, isAccepted} of CASES) {
    const verdict = isAccepted ? 'one' : 'none';

    it(`is ${verdict} of a service: ${protocol}`, async () => {
      text = `${protocol} 200 OK\r\n${SIZED}`;
      const {port} = server.address() as AddressInfo;
      const result = await services.send(
        {host: HOST, port},
        {
          method: 'GET',
          path: '/x',
          headers: {},
          body: Buffer.alloc(0),
          requestId: 'request-1',
        },
        AbortSignal.timeout(CALL_TIMEOUT_MS),
      );
      assert.equal(result.ok, isAccepted);
    });

    it(`is ${verdict} to a cancellation: ${protocol}`, async () => {
      text = `${protocol} 200 OK\r\n${SIZED}`;
      const {port} = server.address() as AddressInfo;
      const result = await engines.cancel(
        {host: HOST, port},
        {requestId: 'request-1', attempt: 1},
      );
      assert.equal(result.ok, isAccepted);
    });
  }
});
