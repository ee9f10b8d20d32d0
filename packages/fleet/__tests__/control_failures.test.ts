import assert from 'node:assert/strict';
import {randomUUID} from 'node:crypto';
import {mkdtempSync, rmSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {after, before, describe, it} from 'node:test';
import {loadDeclarations, type OperatorSession} from '@vanillamux/cli';
import type {EntryStatus} from '@vanillamux/entry';
import {sleep} from '@vanillamux/shared';
import {
  ApiClient,
  Fleet,
  waitUntilServing,
  type FleetHost,
} from '../src/index.js';

const DECLARATIONS = 'examples/quickstart';
const RECOVERY_TIMEOUT_MS = 20_000;
const SUSPENDED_MS = 3_000;

describe('the control group during failures', () => {
  let fleet: Fleet;
  let session: OperatorSession;
  let client: ApiClient;
  let claimCount = 0;

  before(async () => {
    fleet = await Fleet.create({
      folder: mkdtempSync(join(tmpdir(), 'vmux-control-')),
      failureDomains: ['fd-a', 'fd-b', 'fd-c'],
      engineCount: 3,
      serviceCounts: {claims: 1},
      hasControlRelays: true,
      entrySettings: {drainNoticeMs: 0},
    });
    fleet.start();
    session = fleet.openSession();
    const serving = await waitUntilServing(fleet, session, DECLARATIONS);
    assert.ok(serving.ok, serving.ok ? '' : serving.error.message);
    client = new ApiClient(fleet.entryHosts[0]!.address);
  });

  after(async () => {
    await client.close();
    session.close();
    await fleet.stop();
  });

  async function findLeader(): Promise<FleetHost> {
    const status = await session.control.callLeader(async (api, signal) => {
      await api.declarations.current.query(undefined, {signal});
      return api.group.status.query(undefined, {signal});
    });
    assert.ok(status.ok, status.ok ? '' : status.error.message);
    const id = status.value.selfId.split('/')[0];
    return fleet.controlHosts.find(host => host.id === id)!;
  }

  /** Submits a claim under a new key; each claim must run exactly once. */
  async function submitClaim(): Promise<void> {
    const outcome = await client.call(
      '/services/claims/claims',
      'POST',
      {
        authorization: 'Bearer tartu-demo-key',
        'idempotency-key': `claim-${claimCount}`,
      },
      JSON.stringify({number: claimCount}),
    );
    assert.equal(outcome.status, 200, outcome.text);
    claimCount++;
  }

  async function waitUntilClaimAccepted(): Promise<void> {
    const accepted = await fleet.waitFor(
      'acceptance of a claim',
      RECOVERY_TIMEOUT_MS,
      async () => {
        try {
          await submitClaim();
          return true;
        } catch {
          return false;
        }
      },
    );
    assert.ok(accepted.ok);
  }

  async function countExecutions(): Promise<Map<number, number>> {
    const serviceClient = new ApiClient(fleet.serviceHosts[0]!.address);
    const list = await serviceClient.call('/executions', 'GET');
    await serviceClient.close();
    const counts = new Map<number, number>();
    for (const {body} of JSON.parse(list.text) as Array<{
      body: {number: number};
    }>) {
      counts.set(body.number, (counts.get(body.number) ?? 0) + 1);
    }
    return counts;
  }

  it('accepts claims again after its leader is killed', async () => {
    await submitClaim();
    const leader = await findLeader();
    await leader.process.stop('SIGKILL');
    await waitUntilClaimAccepted();
    leader.process.start();
  });

  it('accepts claims while a leader is suspended and after it resumes', async () => {
    const leader = await findLeader();
    leader.process.sendSignal('SIGSTOP');
    await waitUntilClaimAccepted();
    await sleep(SUSPENDED_MS);
    leader.process.sendSignal('SIGCONT');
    await waitUntilClaimAccepted();
  });

  it('elects another leader while the previous one is blackholed', async () => {
    const previousLeader = await findLeader();
    previousLeader.relay!.blackhole();
    for (const {relay} of fleet.controlHosts)
      relay!.blackhole(previousLeader.id);
    await waitUntilClaimAccepted();
    const newLeader = await findLeader();
    assert.notEqual(newLeader.id, previousLeader.id);
    for (const {relay} of fleet.controlHosts) relay!.restore();
    await waitUntilClaimAccepted();
  });

  it('replaces open connections that are blackholed', async () => {
    for (const {relay} of fleet.controlHosts) relay!.blackholeOpenConnections();
    await waitUntilClaimAccepted();
  });

  it('takes a host back that lost its disk, under a new identity', async () => {
    const wipedHost = fleet.controlHosts.find(host => host.id === 'control-2')!;
    const before = await session.control.callLeader((api, signal) =>
      api.group.status.query(undefined, {signal}),
    );
    assert.ok(before.ok);
    const previousMember = before.value.members.find(
      ({hostId}) => hostId === wipedHost.id,
    )!;
    await wipedHost.process.stop('SIGKILL');
    rmSync(join(fleet.options.folder, 'data', wipedHost.id), {recursive: true});
    wipedHost.process.start();
    const replaced = await fleet.waitFor(
      'promotion of the host to voter',
      RECOVERY_TIMEOUT_MS,
      async () => {
        const status = await session.control.callLeader(async (api, signal) => {
          await api.declarations.current.query(undefined, {signal});
          return api.group.status.query(undefined, {signal});
        });
        if (!status.ok) return false;
        const {members, membersIndex, commitIndex} = status.value;
        return (
          commitIndex >= membersIndex &&
          members.length === 3 &&
          members.every(
            ({id, role}) => role === 'voter' && id !== previousMember.id,
          )
        );
      },
    );
    assert.ok(replaced.ok, replaced.ok ? '' : replaced.error.message);
    // The loss of a second host right after the replacement must not lose the
    // quorum.
    const secondHost = fleet.controlHosts.find(
      host => host.id === 'control-3',
    )!;
    await secondHost.process.stop('SIGKILL');
    await waitUntilClaimAccepted();
    secondHost.process.start();
    await waitUntilClaimAccepted();
  });

  it('lets one of two equal-numbered changes win and repeats its answer', async () => {
    const loaded = await loadDeclarations(DECLARATIONS);
    assert.ok(loaded.ok);
    const current = await session.control.callLeader((api, signal) =>
      api.declarations.current.query(undefined, {signal}),
    );
    assert.ok(current.ok);
    const declare = (commandId: string) =>
      session.control.callLeader((api, signal) =>
        api.declarations.declare.mutate(
          {
            commandId,
            expectedVersion: current.value.version,
            document: loaded.value,
            operator: commandId,
          },
          {signal},
        ),
      );
    const commandIds = [randomUUID(), randomUUID()];
    const results = await Promise.all(commandIds.map(declare));
    const accepted = results.map(result => result.ok && result.value.accepted);
    assert.deepEqual(accepted.slice().sort(), [false, true]);
    const leader = await findLeader();
    await leader.process.stop('SIGKILL');
    const retriedResults = await Promise.all(commandIds.map(declare));
    leader.process.start();
    assert.deepEqual(
      retriedResults.map(result => result.ok && result.value),
      results.map(result => result.ok && result.value),
    );
    const version = current.value.version + 1;
    const applied = await fleet.waitFor(
      'application of the version',
      RECOVERY_TIMEOUT_MS,
      async () => {
        const statuses = await session.callEntryHosts<EntryStatus>(
          (api, signal) => api.status.query(undefined, {signal}),
        );
        return statuses.every(
          ({result}) => result.ok && result.value.version === version,
        );
      },
    );
    assert.ok(applied.ok);
  });

  it('rejects claims as not run without a quorum and serves other requests', async () => {
    const [first, second, third] = fleet.controlHosts;
    await second!.process.stop('SIGKILL');
    await third!.process.stop('SIGKILL');
    assert.ok(first!.process.isRunning);
    const claim = await client.call(
      '/services/claims/claims',
      'POST',
      {
        authorization: 'Bearer tartu-demo-key',
        'idempotency-key': 'without-quorum',
      },
      JSON.stringify({number: -1}),
    );
    assert.equal(claim.errorCode, 'no_quorum');
    const {error} = JSON.parse(claim.text) as {error: {ran: string}};
    assert.equal(error.ran, 'not_run');
    const chat = await client.chat({
      apiKey: 'tartu-demo-key',
      model: 'parcel-7b',
      prompt: 'x'.repeat(400),
      maxTokens: 4,
    });
    assert.equal(chat.status, 200);
    second!.process.start();
    third!.process.start();
    await waitUntilClaimAccepted();
  });

  it('starts an entry host with its peers’ version while control hosts are down', async () => {
    const [restarted, peer] = fleet.entryHosts;
    const readVersion = async (host: FleetHost) => {
      const index = fleet.entryHosts.indexOf(host);
      const statuses = await session.callEntryHosts<EntryStatus>(
        (api, signal) => api.status.query(undefined, {signal}),
      );
      const {result} = statuses[index]!;
      return result.ok && result.value.isReady ? result.value.version : 0;
    };
    const version = await readVersion(peer!);
    assert.ok(version > 0);
    for (const {process} of fleet.controlHosts) await process.stop('SIGKILL');
    await restarted!.process.stop('SIGKILL');
    restarted!.process.start();
    const ready = await fleet.waitFor(
      'readiness of the entry host',
      RECOVERY_TIMEOUT_MS,
      async () => (await readVersion(restarted!)) === version,
    );
    assert.ok(ready.ok, ready.ok ? '' : ready.error.message);
    const served = await fleet.waitFor(
      'a chat response',
      RECOVERY_TIMEOUT_MS,
      async () => {
        const chat = await client.chat({
          apiKey: 'tartu-demo-key',
          model: 'parcel-7b',
          prompt: 'x'.repeat(400),
          maxTokens: 4,
        });
        return chat.status === 200;
      },
    );
    assert.ok(served.ok);
    for (const {process} of fleet.controlHosts) process.start();
    await waitUntilClaimAccepted();
  });

  it('has executed every accepted claim once and no rejected claim', async () => {
    const counts = await countExecutions();
    for (let number = 0; number < claimCount; number++) {
      assert.equal(counts.get(number), 1, `claim ${number}`);
    }
    assert.equal(counts.get(-1), undefined);
    const complete = await fleet.waitFor(
      'verification of the record',
      RECOVERY_TIMEOUT_MS,
      async () => {
        const {corruptions: faults, missingHosts: missing} =
          await session.verifyRecord();
        return faults.length === 0 && missing.length === 0;
      },
    );
    assert.ok(complete.ok);
  });
});
