import assert from 'node:assert/strict';
import {mkdtempSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {after, before, describe, it} from 'node:test';
import type {OperatorSession} from '@vanillamux/cli';
import {Fleet, waitUntilServing} from '../src/index.js';

const DECLARATIONS = 'examples/quickstart';
const TIMEOUT_MS = 10_000;

describe('processes that receive SIGHUP', () => {
  let fleet: Fleet;
  let session: OperatorSession;

  before(async () => {
    fleet = await Fleet.create({
      folder: mkdtempSync(join(tmpdir(), 'vmux-signals-')),
      failureDomains: ['fd-a', 'fd-b', 'fd-c'],
      entrySettings: {drainNoticeMs: 0},
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

  it('keep serving', async () => {
    const {process} = fleet.controlHosts[0]!;
    process.sendSignal('SIGHUP');
    const responded = await fleet.waitFor(
      'a response from the leader',
      TIMEOUT_MS,
      async () => {
        const current = await session.control.callLeader((api, signal) =>
          api.declarations.current.query(undefined, {signal}),
        );
        return current.ok;
      },
    );
    assert.ok(responded.ok);
    assert.ok(process.isRunning, 'the process exited on SIGHUP');
  });
});
