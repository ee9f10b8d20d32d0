import assert from 'node:assert/strict';
import {afterEach, beforeEach, describe, it} from 'node:test';
import {sleep} from '@vanillamux/shared';
import type {MemoryDisk} from '@vanillamux/storage';
import {TestGroup} from './test_group.js';

const IDS = ['a/1', 'b/1', 'c/1'];
const COMMITTED_FILE = 'committed.json';
const FIRST_BYTE_BIT = 3;

describe('a member that restarts alone', () => {
  let group: TestGroup;

  beforeEach(async () => {
    group = new TestGroup(Math.random);
    await group.form(IDS);
    await group.commit('first');
  });

  afterEach(() => group.stop());

  async function waitUntilSaved(id: string): Promise<void> {
    const {disk} = group.members.get(id)!;
    await group.waitUntil('the commit index is stored', async () => {
      const text = (await disk.read(COMMITTED_FILE))?.toString() ?? '';
      const {commitIndex} = group.members.get(id)!.node!.status();
      return text.includes(`"index":${commitIndex},`);
    });
  }

  /** Crashes every member and restarts one. Returns the commands it applied. */
  async function restartAlone(
    id: string,
    prepare: (disk: MemoryDisk) => void = () => undefined,
  ): Promise<string[]> {
    for (const other of IDS) await group.crash(other);
    prepare(group.members.get(id)!.disk);
    await group.restart(id);
    return group.members.get(id)!.machine.commands;
  }

  for (const id of IDS) {
    it(`knows what was committed before, member ${id}`, async () => {
      await waitUntilSaved(id);
      assert.deepEqual(await restartAlone(id), ['first']);
    });
  }

  it('does not apply what was not committed', async () => {
    const leader = group.leader()!;
    const {id} = leader.member;
    await waitUntilSaved(id);
    group.network.isolate(id);
    void leader.node!.propose('uncommitted');
    await leader.node!.confirmByQuorum(1);
    await sleep(0);
    assert.deepEqual(await restartAlone(id), ['first']);
  });

  it('is not current without a leader', async () => {
    await waitUntilSaved('b/1');
    await restartAlone('b/1');
    assert.equal(group.members.get('b/1')!.node!.status().isCurrent, false);
  });

  it('waits for a leader if the stored commit index is damaged', async () => {
    await waitUntilSaved('b/1');
    const commands = await restartAlone('b/1', disk =>
      disk.flipBit(COMMITTED_FILE, FIRST_BYTE_BIT),
    );
    assert.deepEqual(commands, []);
    for (const id of IDS) await group.restart(id);
    await group.commit('second');
  });

  it('waits for a leader if a build without commit index wrote its disk', async () => {
    await waitUntilSaved('b/1');
    const commands = await restartAlone('b/1', disk => {
      void disk.remove(COMMITTED_FILE);
    });
    assert.deepEqual(commands, []);
  });

  it('ignores a commit index beyond its log', async () => {
    await waitUntilSaved('b/1');
    for (const id of IDS) await group.crash(id);
    const {disk} = group.members.get('b/1')!;
    for (const name of await disk.list()) {
      if (name.startsWith('segment')) await disk.remove(name);
    }
    await group.restart('b/1');
    assert.deepEqual(group.members.get('b/1')!.machine.commands, []);
  });

  it('continues in a group after the restart of all', async () => {
    for (const id of IDS) await waitUntilSaved(id);
    for (const id of IDS) await group.crash(id);
    for (const id of IDS) await group.restart(id);
    await group.commit('second');
    const {commands} = group.leader()!.machine;
    assert.deepEqual(commands, ['first', 'second']);
  });
});
