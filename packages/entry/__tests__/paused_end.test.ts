import assert from 'node:assert/strict';
import {once} from 'node:events';
import {createServer, type AddressInfo, type Socket} from 'node:net';
import {after, before, describe, it} from 'node:test';
import {FrameKind, type GenerateRequest} from '@vanillamux/protocol';
import {EngineClient} from '../src/engine_client.js';

const HOST = '127.0.0.1';
const REQUEST = {requestId: 'request-1', attempt: 1} as GenerateRequest;
/** The last of these frames exceeds what is buffered of a body. */
const FRAMES = 7;
const FRAME_BYTES = 10_000;
const BODY_BYTES = FRAMES * FRAME_BYTES;
const TIMEOUT_MS = 10_000;

const CASES = [
  {
    name: 'without a length, ends',
    field: '',
    isReset: false,
    isComplete: true,
  },
  {
    name: 'with a length, ends',
    field: `Connection: close\r\nContent-Length: ${BODY_BYTES}\r\n`,
    isReset: false,
    isComplete: true,
  },
  {
    name: 'with a length and a connection to keep, ends',
    field: `Content-Length: ${BODY_BYTES}\r\n`,
    isReset: false,
    isComplete: true,
  },
  {
    name: 'with a larger length, ends',
    field: `Connection: close\r\nContent-Length: ${BODY_BYTES + 1}\r\n`,
    isReset: false,
    isComplete: false,
  },
  {
    name: 'without a length, is reset',
    field: '',
    isReset: true,
    isComplete: false,
  },
];

function formatFrame(index: number): string {
  const frame = {...REQUEST, kind: FrameKind.Token, index, text: ''};
  const paddingBytes = FRAME_BYTES - JSON.stringify(frame).length - 1;
  return `${JSON.stringify({...frame, text: 'x'.repeat(paddingBytes)})}\n`;
}

// The process ended by an assertion of the undici client.
describe('a connection of an engine that ends while the caller is slow', () => {
  let respond: (socket: Socket) => Promise<void>;
  const server = createServer(socket => {
    socket.on('error', () => undefined);
    socket.once('data', () => void respond(socket));
  });

  before(async () => {
    server.listen(0, HOST);
    await once(server, 'listening');
  });

  after(() => server.close());

  for (const {name, field, isReset, isComplete} of CASES) {
    const kind = isComplete ? 'complete' : 'incomplete';
    it(`is ${kind}: a body ${name}`, {timeout: TIMEOUT_MS}, async () => {
      const {port} = server.address() as AddressInfo;
      const client = new EngineClient();
      const ended = new Promise<void>(resolve => {
        respond = async socket => {
          socket.once('close', () => resolve());
          socket.write(`HTTP/1.1 200 OK\r\n${field}\r\n`);
          for (let index = 0; index < FRAMES; index++) {
            await new Promise(sent => socket.write(formatFrame(index), sent));
            // Each frame is read by itself.
            await new Promise(read => setImmediate(read));
          }
          if (isReset) socket.resetAndDestroy();
          else socket.end();
        };
      });
      const signal = AbortSignal.timeout(TIMEOUT_MS);
      const frames = await client.generate({host: HOST, port}, REQUEST, signal);
      assert.ok(frames.ok);
      await ended;
      let count = 0;
      const read = (async () => {
        for await (const frame of frames.value) count += Number(!!frame);
      })();
      if (isComplete) await read;
      else await assert.rejects(read);
      if (isComplete) assert.equal(count, FRAMES);
      await client.close();
    });
  }
});
