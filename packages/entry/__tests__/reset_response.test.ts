import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import type {StoredResponse} from '@vanillamux/control';
import {RunState, type Result} from '@vanillamux/shared';
import {ServiceClient} from '../src/service_client.js';
import {BreakingServer} from './support/breaking_server.js';
import type {BreakingServerOptions} from './support/breaking_server_options.js';

const TIMEOUT_MS = 10_000;
const HEAD = 'HTTP/1.1 200 OK\r\n';
const PART = 'a part';
/** More than the buffers of a connection hold. */
const LARGE_UPLOAD_BYTES = 32 * 1_024 * 1_024;

/** Responses that hold a part of a body. */
const PARTS = [
  {name: 'without a length', text: `${HEAD}\r\n${PART}`},
  {name: 'with a length', text: `${HEAD}Content-Length: 99\r\n\r\n${PART}`},
  {
    name: 'in chunks',
    text: `${HEAD}Transfer-Encoding: chunked\r\n\r\n6\r\n${PART}\r\n`,
  },
  {
    name: 'whose connection is to be closed',
    text: `${HEAD}Connection: close\r\n\r\n${PART}`,
  },
];

const READERS = [
  {name: 'an idle reader', isReaderBusy: false},
  {name: 'a busy reader', isReaderBusy: true},
];

const UPLOADS = [
  {name: 'no body', uploadBytes: 0},
  {name: 'a body that is still being sent', uploadBytes: LARGE_UPLOAD_BYTES},
];

async function callService(
  options: BreakingServerOptions,
  uploadBytes: number,
): Promise<Result<StoredResponse>> {
  const server = await BreakingServer.start(options);
  const services = new ServiceClient();
  try {
    return await services.send(
      server.address,
      {
        method: 'POST',
        path: '/x',
        headers: {},
        body: Buffer.alloc(uploadBytes),
        requestId: 'request-1',
      },
      AbortSignal.timeout(TIMEOUT_MS),
    );
  } finally {
    await services.close();
    await server.stop();
  }
}

describe('a part of a response of a service, reset', () => {
  for (const {name: part, text} of PARTS) {
    for (const {name: reader, isReaderBusy} of READERS) {
      for (const {name: upload, uploadBytes} of UPLOADS) {
        it(`does not look complete to ${reader}: ${part}, ${upload}`, async () => {
          const options = {text, isReaderBusy, isReset: true};
          const result = await callService(options, uploadBytes);
          assert.ok(!result.ok, JSON.stringify(result));
          assert.equal(result.error.ran, RunState.Unknown);
        });
      }
    }
  }
});

// A crashed process's connections end like those of one that has sent all.
describe('a part of a response of a service that has crashed', () => {
  for (const {name: part, text} of PARTS) {
    it(`does not look complete: ${part}`, async () => {
      const options = {
        text,
        isReaderBusy: false,
        isReset: false,
        stopsListening: true,
      };
      const result = await callService(options, 0);
      assert.ok(!result.ok, JSON.stringify(result));
      assert.equal(result.error.ran, RunState.Unknown);
    });
  }
});

describe('a whole response of a service', () => {
  for (const {name: reader, isReaderBusy} of READERS) {
    it(`is complete to ${reader} once its connection has closed`, async () => {
      const text = `${HEAD}\r\n${PART}`;
      const options = {text, isReaderBusy, isReset: false};
      const result = await callService(options, 0);
      assert.ok(result.ok);
      const {body} = result.value;
      assert.equal(Buffer.from(body, 'base64').toString(), PART);
    });

    it(`is complete to ${reader} when its connection is reset after it`, async () => {
      const text = `${HEAD}Content-Length: ${PART.length}\r\n\r\n${PART}`;
      const options = {text, isReaderBusy, isReset: true};
      const result = await callService(options, 0);
      assert.ok(result.ok);
      const {body} = result.value;
      assert.equal(Buffer.from(body, 'base64').toString(), PART);
    });
  }
});
