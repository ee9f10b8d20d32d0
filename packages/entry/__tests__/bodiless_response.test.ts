import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {ServiceClient} from '../src/service_client.js';
import {BreakingServer} from './support/breaking_server.js';

const TIMEOUT_MS = 10_000;

const CASES = [
  {method: 'HEAD', status: 200},
  {method: 'POST', status: 204},
  {method: 'GET', status: 304},
];

// A response without a body is complete, whatever becomes of its service.
describe('a response of a service that has no body', () => {
  for (const {method, status} of CASES) {
    for (const stopsListening of [false, true]) {
      const verb = stopsListening ? 'ends' : 'goes on';
      it(`is complete when the service ${verb}: ${status} to ${method}`, async () => {
        const server = await BreakingServer.start({
          text: `HTTP/1.1 ${status} X\r\n\r\n`,
          isReset: false,
          isReaderBusy: false,
          stopsListening,
        });
        const services = new ServiceClient();
        try {
          const result = await services.send(
            server.address,
            {
              method,
              path: '/x',
              headers: {},
              body: Buffer.alloc(0),
              requestId: 'request-1',
            },
            AbortSignal.timeout(TIMEOUT_MS),
          );
          assert.ok(result.ok, result.ok ? '' : result.error.message);
          assert.equal(result.value.status, status);
        } finally {
          await services.close();
          await server.stop();
        }
      });
    }
  }
});
