import assert from 'node:assert/strict';
import {afterEach, describe, it} from 'node:test';
import {sleep} from '@vanillamux/shared';
import {MemoryDisk} from '@vanillamux/storage';
import {MemberRole, RaftRole} from '../src/index.js';
import {createMember, TEST_TIMING, TestGroup} from './test_group.js';

/** A call with as many may take several election timeouts. */
const LARGE_ENTRY_CHARACTERS = 600_000;

describe('a group of members', () => {
  let group: TestGroup;

  afterEach(() => group.stop());

  const createCommands = (count: number, prefix = 'c') =>
    Array.from({length: count}, (_, index) => `${prefix}${index}`);

  async function createGroup(
    options: {snapshotEntries?: number; trailingEntries?: number} = {},
  ): Promise<void> {
    group = new TestGroup(Math.random, options);
    await group.form(['a/1', 'b/1', 'c/1']);
    await group.waitUntil(
      'a leader is elected',
      () => group.leader() !== undefined,
    );
  }

  it('applies every committed command on each member in one order', async () => {
    await createGroup();
    for (const command of createCommands(20)) await group.commit(command);
    await group.waitUntil('all members applied every command', () =>
      [...group.members.values()].every(
        ({machine}) => machine.commands.length === 20,
      ),
    );
    for (const {machine} of group.members.values()) {
      assert.deepEqual(machine.commands, createCommands(20));
    }
  });

  it('commits many concurrent proposals with few syncs', async () => {
    await createGroup();
    const {node, disk} = group.leader()!;
    assert.ok(disk);
    const results = await Promise.all(
      createCommands(64).map(command => node!.propose(command)),
    );
    assert.ok(results.every(({ok}) => ok));
  });

  it('has no unhandled rejection after a power loss during a write', async () => {
    await createGroup();
    const unhandledRejections: unknown[] = [];
    const recordRejection = (reason: unknown): void =>
      void unhandledRejections.push(reason);
    process.on('unhandledRejection', recordRejection);
    const leader = group.leader()!;
    const proposed = leader.node!.propose('cut off');
    await group.crash(leader.member.id);
    assert.equal((await proposed).ok, false);
    await sleep(TEST_TIMING.heartbeatMs);
    process.off('unhandledRejection', recordRejection);
    assert.deepEqual(unhandledRejections, []);
  });

  it('elects another leader after a crash and keeps acknowledged commands', async () => {
    await createGroup();
    await group.commit('before');
    const oldLeaderId = group.leader()!.member.id;
    await group.crash(oldLeaderId);
    await group.commit('after');
    assert.notEqual(group.leader()!.member.id, oldLeaderId);
    await group.restart(oldLeaderId);
    const {machine} = group.members.get(oldLeaderId)!;
    await group.waitUntil('the restarted member catches up', () =>
      machine.commands.includes('after'),
    );
    assert.deepEqual([...new Set(machine.commands)], ['before', 'after']);
  });

  it('makes an isolated leader step down and not confirm its leadership', async () => {
    await createGroup();
    await group.commit('before');
    const oldLeader = group.leader()!;
    group.network.isolate(oldLeader.member.id);
    await sleep(TEST_TIMING.electionMinMs);
    const confirmed = await oldLeader.node!.confirmByLease();
    assert.equal(confirmed.ok, false);
    await group.waitUntil(
      'the isolated leader steps down',
      () => oldLeader.node!.status().role !== RaftRole.Leader,
    );
    await group.commit('meanwhile');
    const {term} = group.leader()!.node!.status();
    group.network.heal();
    await group.waitUntil('the old leader catches up', () =>
      oldLeader.machine.commands.includes('meanwhile'),
    );
    // The pre-vote keeps a returning member from deposing the leader.
    assert.equal(group.leader()!.node!.status().term, term);
  });

  it('keeps a leader whose entry takes longer than an election timeout', async () => {
    await createGroup();
    await group.commit('before');
    const {node} = group.leader()!;
    const {term} = node!.status();
    group.network.conditions.entriesDelayMs = 2 * TEST_TIMING.electionMaxMs;
    const result = await node!.propose('x'.repeat(LARGE_ENTRY_CHARACTERS));
    assert.ok(result.ok);
    assert.equal(node!.status().term, term);
  });

  it('keeps a leader whose snapshot takes longer than an election timeout', async () => {
    await createGroup({snapshotEntries: 8, trailingEntries: 2});
    const leader = group.leader()!;
    const {term} = leader.node!.status();
    const [behindId, otherId] = [...group.members.keys()].filter(
      id => id !== leader.member.id,
    );
    await group.crash(behindId!);
    for (const command of createCommands(40)) await group.commit(command);
    group.network.conditions.entriesDelayMs = 2 * TEST_TIMING.electionMaxMs;
    await group.restart(behindId!);
    await group.crash(otherId!);
    const {machine} = group.members.get(behindId!)!;
    await group.waitUntil(
      'the restarted member has the snapshot',
      () => machine.commands.length > 0,
    );
    assert.equal(leader.node!.status().term, term);
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

  it('catches up a member that was down for hundreds of commands', async () => {
    await createGroup({snapshotEntries: 64, trailingEntries: 8});
    const downId = [...group.members.keys()].find(
      id => id !== group.leader()!.member.id,
    )!;
    await group.crash(downId);
    for (const command of createCommands(300)) await group.commit(command);
    assert.ok(group.leader()!.node!.status().baseIndex > 0);
    await group.restart(downId);
    const {machine} = group.members.get(downId)!;
    await group.waitUntil(
      'the restarted member applied every command',
      () => machine.commands.length === 300,
    );
    assert.deepEqual(machine.commands, createCommands(300));
  });

  it('recovers from snapshot and log after every member crashed', async () => {
    await createGroup({snapshotEntries: 32, trailingEntries: 4});
    for (const command of createCommands(100)) await group.commit(command);
    const ids = [...group.members.keys()];
    for (const id of ids) await group.crash(id);
    for (const id of ids) await group.restart(id);
    await group.commit('after');
    const {machine} = group.leader()!;
    assert.deepEqual(machine.commands, [...createCommands(100), 'after']);
  });

  it('replaces a member that lost its disk by one with a new id', async () => {
    await createGroup();
    await group.commit('before');
    const lostId = [...group.members.keys()].find(
      id => id !== group.leader()!.member.id,
    )!;
    await group.crash(lostId);
    group.members.delete(lostId);
    const replacement = createMember(lostId.replace('/1', '/2'));
    const {machine} = await group.start(replacement, new MemoryDisk());
    const {node} = group.leader()!;
    const currentMembers = () =>
      node!.status().members.map(member => createMember(member.id));
    const learner = {...replacement, role: MemberRole.Learner};
    const added = await node!.changeMembers([...currentMembers(), learner]);
    assert.ok(added.ok);
    await group.waitUntil('the learner catches up', () =>
      machine.commands.includes('before'),
    );
    assert.ok((await node!.changeMembers(currentMembers())).ok);
    const remainingMembers = currentMembers().filter(({id}) => id !== lostId);
    assert.ok((await node!.changeMembers(remainingMembers)).ok);
    await group.commit('after');
    assert.deepEqual(
      node!
        .status()
        .members.map(({id}) => id)
        .sort(),
      remainingMembers.map(({id}) => id).sort(),
    );
  });
});
