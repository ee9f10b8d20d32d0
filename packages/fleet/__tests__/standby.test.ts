import assert from 'node:assert/strict';
import {mkdtempSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {after, before, describe, it} from 'node:test';
import type {OperatorSession} from '@vanillamux/cli';
import {ControlClient} from '@vanillamux/control';
import {Fleet, waitUntilServing} from '../src/index.js';

const DECLARATIONS = 'examples/quickstart';
const TIMEOUT_MS = 20_000;
const REPLACE_AFTER_MS = 1_500;

describe('a control group with a standby', () => {
  let fleet: Fleet;
  let session: OperatorSession;

  before(async () => {
    fleet = await Fleet.create({
      folder: mkdtempSync(join(tmpdir(), 'vmux-standby-')),
      failureDomains: ['fd-a', 'fd-b', 'fd-c'],
      standbyHostCount: 1,
      controlSettings: {replaceAfterMs: REPLACE_AFTER_MS},
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

  async function readVoters(): Promise<string[]> {
    const status = await session.control.callLeader(async (api, signal) => {
      await api.declarations.current.query(undefined, {signal});
      return api.group.status.query(undefined, {signal});
    });
    if (!status.ok) return [];
    return status.value.members
      .filter(({role}) => role === 'voter')
      .map(({hostId}) => hostId)
      .sort();
  }

  it('keeps the standby out of the group while no voter is lost', async () => {
    assert.deepEqual(await readVoters(), [
      'control-1',
      'control-2',
      'control-3',
    ]);
  });

  it('replaces a voter that stays unavailable', async () => {
    await fleet.controlHosts[1]!.process.stop('SIGKILL');
    const replaced = await fleet.waitFor(
      'replacement of the voter',
      TIMEOUT_MS,
      async () => {
        const voters = await readVoters();
        return voters.join() === 'control-1,control-3,control-4';
      },
    );
    assert.ok(replaced.ok, (await readVoters()).join());
  });

  it('keeps a leader after losing another host once the voter is replaced', async () => {
    await fleet.controlHosts[2]!.process.stop('SIGKILL');
    const leaderFound = await fleet.waitFor(
      'a response from a leader',
      TIMEOUT_MS,
      async () => {
        const current = await session.control.callLeader((api, signal) =>
          api.declarations.current.query(undefined, {signal}),
        );
        return current.ok && current.value.version > 0;
      },
    );
    assert.ok(leaderFound.ok);
  });

  it('promotes a replaced host to voter again when an operator adds it', async () => {
    const [, replaced, killed] = fleet.controlHosts;
    killed!.process.start();
    replaced!.process.start();
    const hostClient = new ControlClient([replaced!.address]);
    const started = await fleet.waitFor(
      'a response of the restarted host',
      TIMEOUT_MS,
      async () => {
        const formation = await hostClient.callAny((api, signal) =>
          api.group.formation.query(undefined, {signal}),
        );
        return formation.ok;
      },
    );
    assert.ok(started.ok);
    const formation = await hostClient.callAny((api, signal) =>
      api.group.formation.query(undefined, {signal}),
    );
    hostClient.close();
    assert.ok(formation.ok);
    const added = await session.control.callLeader((api, signal) =>
      api.group.add.mutate(formation.value.member, {signal}),
    );
    assert.ok(added.ok, added.ok ? '' : added.error.message);
    const voterCountReached = await fleet.waitFor(
      'promotion to four voters',
      TIMEOUT_MS,
      async () => {
        const voters = await readVoters();
        return voters.length === 4;
      },
    );
    assert.ok(voterCountReached.ok, (await readVoters()).join());
  });
});
