import assert from 'node:assert/strict';
import {once} from 'node:events';
import {mkdtempSync} from 'node:fs';
import {connect} from 'node:net';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {after, before, describe, it} from 'node:test';
import type {OperatorSession} from '@vanillamux/cli';
import {sleep} from '@vanillamux/shared';
import {Fleet, waitUntilServing} from '../src/index.js';

const DECLARATIONS = 'examples/quickstart';
/** Shorter than the stream. */
const DRAIN_NOTICE_MS = 100;
const TOKENS = 150;
/** Until a client that has got a response sends its next request. */
const TURN_MS = 80;
const HEADS = /HTTP\/1\.1 (\d+)[^]*?\r\nConnection: (\S+)\r\n/gi;
const LAST_CHUNK = '\r\n0\r\n\r\n';

function formatChat(maxTokens: number): string {
  const body = JSON.stringify({
    model: 'parcel-7b',
    messages: [{role: 'user', content: 'hello'}],
    max_tokens: maxTokens,
    stream: true,
  });
  const lines = [
    'POST /v1/chat/completions HTTP/1.1',
    'Host: entry',
    'Authorization: Bearer tartu-demo-key',
    `Content-Length: ${body.length}`,
  ];
  return `${lines.join('\r\n')}\r\n\r\n${body}`;
}

describe('a stop of an entry host whose clients keep their connections', () => {
  let fleet: Fleet;
  let session: OperatorSession;

  before(async () => {
    fleet = await Fleet.create({
      folder: mkdtempSync(join(tmpdir(), 'vmux-stop-connections-')),
      failureDomains: ['fd-a'],
      controlHostCount: 1,
      engineCount: 1,
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

  // The client was not told that its connection closes, and got a reset.
  it('answers a request that follows a stream from before the stop', async () => {
    const {address, process} = fleet.entryHosts[0]!;
    const socket = connect(address.port, address.host);
    socket.on('error', () => undefined);
    let text = '';
    socket.on('data', bytes => (text += String(bytes)));
    const closed = once(socket, 'close');
    socket.write(formatChat(TOKENS));
    await once(socket, 'data');
    process.sendSignal('SIGTERM');
    while (!text.endsWith(LAST_CHUNK)) await once(socket, 'data');
    await sleep(TURN_MS);
    socket.write(formatChat(1));
    await closed;
    const heads = [...text.matchAll(HEADS)].map(([, ...fields]) => fields);
    const expected = [
      ['200', 'keep-alive'],
      ['503', 'close'],
    ];
    assert.deepEqual(heads, expected, text.slice(-1_000));
    assert.equal(await process.waitForExit(), 0);
  });
});
