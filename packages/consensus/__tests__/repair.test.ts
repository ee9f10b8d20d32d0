import assert from 'node:assert/strict';
import {afterEach, describe, it} from 'node:test';
import {MemoryDisk} from '@vanillamux/storage';
import {MemberRole, type Member} from '../src/index.js';
import {createMember, TestGroup} from './test_group.js';

/** A call, which times out after 40 ms, carries at most 40,000 characters. */
const CHARACTERS_PER_MS = 1_000;
const ENTRY_CHARACTERS = 4_000;

describe('the repair of a group', () => {
  let group: TestGroup;

  afterEach(() => group.stop());

  async function createGroup(
    ids: readonly string[],
    options: {snapshotEntries?: number; trailingEntries?: number} = {},
  ): Promise<void> {
    group = new TestGroup(Math.random, options);
    await group.form(ids);
    await group.waitUntil(
      'a leader is elected',
      () => group.leader() !== undefined,
    );
    await group.commit('first');
  }

  /** Crashes a follower, whose disk is lost. Returns its id. */
  async function loseFollower(): Promise<string> {
    const leaderId = group.leader()!.member.id;
    const lostId = [...group.members.keys()].find(id => id !== leaderId)!;
    await group.crash(lostId);
    group.members.delete(lostId);
    return lostId;
  }

  /** Adds an empty member as a learner in place of a lost one. */
  async function addLearner(lostId: string): Promise<Member> {
    const replacement = createMember(lostId.replace('/1', '/2'));
    await group.start(replacement, new MemoryDisk());
    const {node} = group.leader()!;
    const members = node!.status().members.map(({id}) => createMember(id));
    const learner = {...replacement, role: MemberRole.Learner};
    assert.ok((await node!.changeMembers([...members, learner])).ok);
    return replacement;
  }

  const CATCH_UP_CASES = [
    {name: 'a young log', entries: 4},
    {name: 'a log that takes several calls', entries: 40},
    {name: 'a log of hundreds of large entries', entries: 400},
  ];
  for (const {name, entries} of CATCH_UP_CASES) {
    it(`catches up a slow member with ${name}`, async () => {
      await createGroup(['a/1', 'b/1', 'c/1']);
      for (let index = 0; index < entries; index++) {
        await group.commit(String(index).padEnd(ENTRY_CHARACTERS, 'x'));
      }
      const lostId = await loseFollower();
      group.network.conditions.charactersPerMs = CHARACTERS_PER_MS;
      const {id} = await addLearner(lostId);
      await group.waitUntil('the leader knows that it has caught up', () => {
        const {members, lastIndex} = group.leader()!.node!.status();
        const matchIndex = members.find(member => member.id === id)?.matchIndex;
        return matchIndex === lastIndex;
      });
    });
  }

  for (const {needs, options} of [
    {needs: 'entries', options: {}},
    {needs: 'a snapshot', options: {snapshotEntries: 8, trailingEntries: 2}},
  ]) {
    it(`notices that a member that needs ${needs} has lost its disk`, async () => {
      await createGroup(['a/1', 'b/1', 'c/1'], options);
      const lostId = await loseFollower();
      for (let index = 0; index < 40; index++) await group.commit(`c${index}`);
      const replacement = createMember(lostId.replace('/1', '/2'));
      const {node} = await group.start(replacement, new MemoryDisk());
      group.network.attach(lostId, node!);
      await group.waitUntil('the leader knows it', () => {
        const {members} = group.leader()!.node!.status();
        return members.some(({id, isReplaced}) => id === lostId && isReplaced);
      });
    });
  }

  it('catches up a lagging member after every member was restarted', async () => {
    await createGroup(['a/1', 'b/1', 'c/1']);
    const laggingId = [...group.members.keys()].find(
      id => id !== group.leader()!.member.id,
    )!;
    group.network.isolate(laggingId);
    for (let index = 0; index < 200; index++) {
      await group.commit(String(index).padEnd(ENTRY_CHARACTERS, 'x'));
    }
    const ids = [...group.members.keys()];
    for (const id of ids) await group.crash(id);
    const downId = ids.find(id => id !== laggingId)!;
    group.network.heal();
    for (const id of ids) if (id !== downId) await group.restart(id);
    await group.commit('after the restart');
  });

  it('elects a leader by the vote of a voter that does not know its promotion', async () => {
    await createGroup(['a/1', 'b/1', 'c/1']);
    const lostId = await loseFollower();
    const {id: newId} = await addLearner(lostId);
    const leader = group.leader()!;
    await group.waitUntil(
      'the learner has caught up',
      () =>
        leader.node!.status().members.find(({id}) => id === newId)
          ?.matchIndex === leader.node!.status().lastIndex,
    );
    group.network.isolate(newId);
    const members = leader
      .node!.status()
      .members.map(({id}) => createMember(id));
    const remaining = members.filter(({id}) => id !== lostId);
    const learners = remaining.map(member =>
      member.id === newId ? {...member, role: MemberRole.Learner} : member,
    );
    assert.ok((await leader.node!.changeMembers(learners)).ok);
    assert.ok((await leader.node!.changeMembers(remaining)).ok);
    await group.crash(leader.member.id);
    group.members.delete(leader.member.id);
    group.network.heal();
    await group.commit('after the loss of the leader');
  });
});
