import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {Deferred, sleep} from '@vanillamux/shared';
import {MemoryDisk} from '@vanillamux/storage';
import {EntryKind, RaftNode, RaftStorage} from '../src/index.js';
import {FakeNetwork} from './fake_network.js';
import {createMember, RecordingStateMachine} from './test_group.js';

const LEADER = {term: 1, leaderId: 'a/1'};
const INSTALLED_INDEX = 50;
const APPENDED_ENTRIES = 8;

/** Writes snapshots only when the test lets it. */
class GatedDisk extends MemoryDisk {
  readonly pendingWrites: Array<Deferred<void>> = [];

  override async replace(name: string, content: Uint8Array): Promise<void> {
    if (name === 'snapshot.json') {
      const gate = new Deferred<void>();
      this.pendingWrites.push(gate);
      await gate.promise;
    }
    await super.replace(name, content);
  }
}

describe('the installation of a snapshot', () => {
  it('is not undone by a compaction at the same time', async () => {
    const disk = new GatedDisk();
    const recovered = await RaftStorage.open(disk);
    assert.ok(recovered.ok);
    const node = new RaftNode({
      selfId: 'b/1',
      recovered: recovered.value,
      transport: new FakeNetwork(Math.random).transport('b/1'),
      stateMachine: new RecordingStateMachine(),
      snapshotEntries: APPENDED_ENTRIES / 2,
      trailingEntries: 0,
    });
    const installed = node.handleSnapshot({
      ...LEADER,
      lastIndex: INSTALLED_INDEX,
      lastTerm: 1,
      members: ['a/1', 'b/1', 'c/1'].map(createMember),
      offset: 0,
      chunk: '[]',
      done: true,
    });
    const indexes = Array.from({length: APPENDED_ENTRIES}, (_, i) => i + 1);
    await node.handleAppend({
      ...LEADER,
      previousIndex: 0,
      previousTerm: 0,
      entries: indexes.map(index => ({
        index,
        term: 1,
        kind: EntryKind.Command,
        data: 'x',
      })),
      commitIndex: APPENDED_ENTRIES,
    });
    // The writes end in the order in which they began.
    for (const gate of disk.pendingWrites) {
      gate.resolve();
      await sleep(1);
    }
    await installed;
    await node.stop();
    const reopened = await RaftStorage.open(disk);
    assert.ok(reopened.ok);
    assert.equal(reopened.value.log.baseIndex, INSTALLED_INDEX);
  });
});
