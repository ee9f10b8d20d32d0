import assert from 'node:assert/strict';
import {once} from 'node:events';
import {mkdtempSync} from 'node:fs';
import {connect, type Socket} from 'node:net';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {after, before, describe, it} from 'node:test';
import type {OperatorSession} from '@vanillamux/cli';
import {formatAddress, sleep, type Address} from '@vanillamux/shared';
import {Fleet, waitUntilServing} from '../src/index.js';

const DECLARATIONS = 'examples/quickstart';
const TIMEOUT_MS = 10_000;
const STATUS_UNAVAILABLE = 503;
const DRAIN_NOTICE_MS = 400;
/** Longer than the notice, so that its timer is due when the process goes on. */
const FROZEN_MS = 500;
/** The process has been stopped by the system within this time. */
const FREEZE_MS = 30;
const CONNECTIONS = 20;
const BODY = '{"claim":1}';

function formatRequest(key: string): string {
  const lines = [
    'POST /services/claims/claims HTTP/1.1',
    'Host: entry',
    'Authorization: Bearer tartu-demo-key',
    `Idempotency-Key: ${key}`,
    `Content-Length: ${BODY.length}`,
  ];
  return `${lines.join('\r\n')}\r\n\r\n${BODY}`;
}

async function open({host, port}: Address): Promise<Socket> {
  const socket = connect(port, host);
  // The reset of a connection is one of the outcomes.
  socket.on('error', () => undefined);
  await once(socket, 'connect');
  return socket;
}

function openAll(address: Address): Promise<Socket[]> {
  return Promise.all(Array.from({length: CONNECTIONS}, () => open(address)));
}

/** Collects what each connection receives until it closes. */
function receive(sockets: readonly Socket[]): Promise<string[]> {
  return Promise.all(
    sockets.map(socket => {
      let text = '';
      socket.on('data', bytes => (text += String(bytes)));
      return new Promise<string>(resolve =>
        socket.on('close', () => resolve(text)),
      );
    }),
  );
}

// What had arrived while the process was held up was reset unread.
describe('a stop of an entry host whose event loop was held up', () => {
  let fleet: Fleet;
  let session: OperatorSession;

  before(async () => {
    fleet = await Fleet.create({
      folder: mkdtempSync(join(tmpdir(), 'vmux-busy-stop-')),
      failureDomains: ['fd-a', 'fd-b'],
      controlHostCount: 1,
      serviceCounts: {claims: 1},
      entrySettings: {drainNoticeMs: DRAIN_NOTICE_MS},
    });
    fleet.start();
    session = fleet.openSession();
    const serving = await waitUntilServing(fleet, session, DECLARATIONS);
    assert.ok(serving.ok, serving.ok ? '' : serving.error.message);
  });

  after(async () => {
    session.close();
    await fleet.stop();
  });

  for (const [index, kind] of ['kept', 'new'].entries()) {
    it(`answers the requests that had arrived on ${kind} connections`, async () => {
      const {address, process} = fleet.entryHosts[index]!;
      let sockets = await openAll(address);
      for (const [index, socket] of sockets.entries()) {
        socket.write(formatRequest(`${kind}-first-${index}`));
        const [bytes] = (await once(socket, 'data')) as [Buffer];
        assert.match(bytes.toString(), /^HTTP\/1\.1 200 /);
      }
      process.sendSignal('SIGTERM');
      const stopping = await fleet.waitFor('the stop', TIMEOUT_MS, async () => {
        const res = await fetch(`http://${formatAddress(address)}/readyz`);
        await res.arrayBuffer();
        return res.status === STATUS_UNAVAILABLE;
      });
      assert.ok(stopping.ok);
      process.sendSignal('SIGSTOP');
      await sleep(FREEZE_MS);
      if (kind === 'new') sockets = await openAll(address);
      const received = receive(sockets);
      for (const [index, socket] of sockets.entries())
        socket.write(formatRequest(`${kind}-late-${index}`));
      await sleep(FROZEN_MS);
      process.sendSignal('SIGCONT');
      const answered = (await received).filter(text =>
        /^HTTP\/1\.1 (200|503) /.test(text),
      );
      assert.equal(answered.length, CONNECTIONS);
      assert.equal(await process.waitForExit(), 0);
    });
  }
});
