import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {DiskOperation, FaultPhase, MemoryDisk, Wal} from '../src/index.js';

/** Operations of a rotation, and those that bring a log back from a failed one. */
const OPERATIONS = [
  DiskOperation.Replace,
  DiskOperation.Open,
  DiskOperation.Close,
  DiskOperation.Remove,
  DiskOperation.SyncNames,
  DiskOperation.Append,
  DiskOperation.Sync,
];
const PHASES = [FaultPhase.Before, FaultPhase.After];
const DURATIONS = [
  {name: 'once', faults: 1},
  {name: 'three times', faults: 3},
];
const OUTCOMES = [
  {name: 'a restart', crash: (disk: MemoryDisk) => disk.crash(() => Infinity)},
  {name: 'a power failure', crash: (disk: MemoryDisk) => disk.crash(() => 0)},
  {
    name: 'a power failure that undoes names',
    crash: (disk: MemoryDisk) => disk.crash(() => 0, true),
  },
];

async function openWal(disk: MemoryDisk): Promise<{wal: Wal; texts: string[]}> {
  const opened = await Wal.open(disk);
  assert.ok(opened.ok, opened.ok ? '' : opened.error.message);
  const {wal, payloads} = opened.value;
  return {wal, texts: payloads.map(payload => payload.toString())};
}

async function appendDurably(wal: Wal, text: string): Promise<void> {
  wal.append(Buffer.from(text));
  await wal.sync();
}

for (const operation of OPERATIONS) {
  for (const phase of PHASES) {
    for (const {name, faults} of DURATIONS) {
      describe(`a rotation on a full disk, ${operation} fails ${name}, ${phase} it runs`, () => {
        async function rotateWithFaults(): Promise<MemoryDisk> {
          const disk = new MemoryDisk();
          const {wal} = await openWal(disk);
          await appendDurably(wal, 'a');
          let remaining = faults;
          disk.injectFault = (operationNow, phaseNow) =>
            operationNow === operation && phaseNow === phase && remaining-- > 0;
          await wal.rotate(() => [Buffer.from('a')]).catch(() => undefined);
          await appendDurably(wal, 'b');
          await appendDurably(wal, 'c');
          return disk;
        }

        for (const {name: outcome, crash} of OUTCOMES) {
          it(`loses no acknowledged record in ${outcome}`, async () => {
            const disk = await rotateWithFaults();
            const {texts} = await openWal(crash(disk));
            assert.deepEqual(texts, ['a', 'b', 'c']);
          });
        }

        it('rotates once there is room again', async () => {
          const disk = await rotateWithFaults();
          disk.injectFault = () => false;
          const {wal} = await openWal(disk);
          await wal.rotate(() => [Buffer.from('d')]);
          await appendDurably(wal, 'e');
          const segments = await disk.list();
          assert.equal(segments.length, 1, segments.join());
          assert.deepEqual((await openWal(disk)).texts, ['d', 'e']);
        });
      });
    }
  }
}
