import assert from 'node:assert/strict';
import {afterEach, describe, it} from 'node:test';
import {sleep} from '@vanillamux/shared';
import {MemoryDisk} from '@vanillamux/storage';
import {MemberRole, RaftRole} from '../src/index.js';
import {describeMember, TEST_TIMING, TestGroup} from './test_group.js';

describe('a group of members', () => {
  let group: TestGroup;

  afterEach(() => group.stop());

  const numbered = (count: number, prefix = 'c') =>
    Array.from({length: count}, (_, index) => `${prefix}${index}`);

  async function createGroup(
    options: {snapshotEntries?: number; trailingEntries?: number} = {},
  ): Promise<void> {
    group = new TestGroup(Math.random, options);
    await group.form(['a/1', 'b/1', 'c/1']);
    await group.until('an election', () => group.leader() !== undefined);
  }

  it('applies every committed command on each member in one order', async () => {
    await createGroup();
    for (const command of numbered(20)) await group.commit(command);
    await group.until('that all applied', () =>
      [...group.members.values()].every(
        ({machine}) => machine.commands.length === 20,
      ),
    );
    for (const {machine} of group.members.values()) {
      assert.deepEqual(machine.commands, numbered(20));
    }
  });

  it('commits many concurrent proposals with few syncs', async () => {
    await createGroup();
    const {node, disk} = group.leader()!;
    assert.ok(disk);
    const results = await Promise.all(
      numbered(64).map(command => node!.propose(command)),
    );
    assert.ok(results.every(({ok}) => ok));
  });

  it('loses power in the middle of a write without a stray rejection', async () => {
    await createGroup();
    const stray: unknown[] = [];
    const note = (reason: unknown): void => void stray.push(reason);
    process.on('unhandledRejection', note);
    const leader = group.leader()!;
    const proposed = leader.node!.propose('cut off');
    await group.crash(leader.member.id);
    assert.equal((await proposed).ok, false);
    await sleep(TEST_TIMING.heartbeatMs);
    process.off('unhandledRejection', note);
    assert.deepEqual(stray, []);
  });

  it('elects another leader after a crash and keeps what it acknowledged', async () => {
    await createGroup();
    await group.commit('before');
    const old = group.leader()!.member.id;
    await group.crash(old);
    await group.commit('after');
    assert.notEqual(group.leader()!.member.id, old);
    await group.restart(old);
    const {machine} = group.members.get(old)!;
    await group.until('that it caught up', () =>
      machine.commands.includes('after'),
    );
    assert.deepEqual([...new Set(machine.commands)], ['before', 'after']);
  });

  it('makes an isolated leader step down and refuse to confirm itself', async () => {
    await createGroup();
    await group.commit('before');
    const old = group.leader()!;
    group.network.isolate(old.member.id);
    await sleep(TEST_TIMING.electionMinMs);
    const confirmed = await old.node!.confirmLeadership();
    assert.equal(confirmed.ok, false);
    await group.until(
      'that it stepped down',
      () => old.node!.status().role !== RaftRole.Leader,
    );
    await group.commit('meanwhile');
    const {term} = group.leader()!.node!.status();
    group.network.heal();
    await group.until('that it caught up', () =>
      old.machine.commands.includes('meanwhile'),
    );
    // The pre-vote keeps a member that comes back from deposing the leader.
    assert.equal(group.leader()!.node!.status().term, term);
  });

  it('never lets an isolated member raise the term of the others', async () => {
    await createGroup();
    const {term} = group.leader()!.node!.status();
    const follower = [...group.members.keys()].find(
      id => id !== group.leader()!.member.id,
    )!;
    group.network.isolate(follower);
    await sleep(TEST_TIMING.electionMaxMs * 4);
    group.network.heal();
    await group.commit('after');
    assert.equal(group.leader()!.node!.status().term, term);
  });

  it('brings a member back that was away for hundreds of changes', async () => {
    await createGroup({snapshotEntries: 64, trailingEntries: 8});
    const away = [...group.members.keys()].find(
      id => id !== group.leader()!.member.id,
    )!;
    await group.crash(away);
    for (const command of numbered(300)) await group.commit(command);
    assert.ok(group.leader()!.node!.status().baseIndex > 0);
    await group.restart(away);
    const {machine} = group.members.get(away)!;
    await group.until(
      'that it caught up',
      () => machine.commands.length === 300,
    );
    assert.deepEqual(machine.commands, numbered(300));
  });

  it('recovers from snapshot and log after every member crashed', async () => {
    await createGroup({snapshotEntries: 32, trailingEntries: 4});
    for (const command of numbered(100)) await group.commit(command);
    const ids = [...group.members.keys()];
    for (const id of ids) await group.crash(id);
    for (const id of ids) await group.restart(id);
    await group.commit('after');
    const {machine} = group.leader()!;
    assert.deepEqual(machine.commands, [...numbered(100), 'after']);
  });

  it('replaces a member whose disk was lost, under a new identity', async () => {
    await createGroup();
    await group.commit('before');
    const lost = [...group.members.keys()].find(
      id => id !== group.leader()!.member.id,
    )!;
    await group.crash(lost);
    group.members.delete(lost);
    const reborn = describeMember(lost.replace('/1', '/2'));
    const {machine} = await group.start(reborn, new MemoryDisk());
    const {node} = group.leader()!;
    const current = () =>
      node!.status().members.map(member => describeMember(member.id));
    const learner = {...reborn, role: MemberRole.Learner};
    const added = await node!.changeMembers([...current(), learner]);
    assert.ok(added.ok);
    await group.until('that it caught up', () =>
      machine.commands.includes('before'),
    );
    assert.ok((await node!.changeMembers(current())).ok);
    const without = current().filter(({id}) => id !== lost);
    assert.ok((await node!.changeMembers(without)).ok);
    await group.commit('after');
    assert.deepEqual(
      node!
        .status()
        .members.map(({id}) => id)
        .sort(),
      without.map(({id}) => id).sort(),
    );
  });
});
