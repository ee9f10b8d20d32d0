// Run as a process: a follower whose disk fails for good while it writes.
import {MemoryDisk} from '@vanillamux/storage';
import {EntryKind, RaftNode, RaftStorage} from '../../src/index.js';
import {FakeNetwork} from '../fake_network.js';
import {RecordingStateMachine} from '../test_group.js';

/** Far longer than the process should run. */
const GIVE_UP_MS = 10_000;

const disk = new MemoryDisk();
const recovered = await RaftStorage.open(disk);
if (!recovered.ok) throw recovered.error;
const node = new RaftNode({
  selfId: 'b/1',
  recovered: recovered.value,
  transport: new FakeNetwork(Math.random).transport('b/1'),
  stateMachine: new RecordingStateMachine(),
});
disk.remainingOperations = 0;
const entry = {index: 1, term: 1, kind: EntryKind.Command, data: 'x'};
await node
  .handleAppend({
    term: 1,
    leaderId: 'a/1',
    previousIndex: 0,
    previousTerm: 0,
    entries: [entry],
    commitIndex: 0,
  })
  .catch(() => undefined);
setTimeout(() => process.exit(0), GIVE_UP_MS);
