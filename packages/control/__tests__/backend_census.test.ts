import assert from 'node:assert/strict';
import {describe, it, mock} from 'node:test';
import {getLogger, succeed} from '@vanillamux/shared';
import {ChecksummedFile, MemoryDisk} from '@vanillamux/storage';
import {BackendCensus, type BackendCounts} from '../src/index.js';

const HEARTBEAT_MS = 1_000;
/** Two intervals of heartbeats. */
const OPEN_MS = 2_000;

describe('BackendCensus', () => {
  /** A census on a disk, `ageMs` after a start. */
  async function start(
    disk: MemoryDisk,
  ): Promise<{census: BackendCensus; advance(ms: number): void}> {
    let nowMs = 5;
    const file = new ChecksummedFile(disk, 'backends.json');
    const options = {heartbeatMs: HEARTBEAT_MS, file, now: () => nowMs};
    const census = new BackendCensus(options);
    await census.load();
    return {census, advance: ms => (nowMs += ms)};
  }

  /** What a control host expects that restarts after `counts`. */
  async function restartAfter(
    ageMs: number,
    ...counts: BackendCounts[]
  ): Promise<BackendCounts | undefined> {
    const disk = new MemoryDisk();
    const {census, advance} = await start(disk);
    advance(ageMs);
    for (const known of counts) census.learn(known);
    await census.save();
    return (await start(disk)).census.current()?.expected;
  }

  const CASES: Array<{
    readonly name: string;
    readonly ageMs: number;
    readonly counts: readonly BackendCounts[];
    readonly expected: BackendCounts;
  }> = [
    {name: 'nothing', ageMs: OPEN_MS, counts: [], expected: {}},
    {
      name: 'the highest counts',
      ageMs: OPEN_MS,
      counts: [{notes: 5}, {notes: 7, forms: 3}, {notes: 6, forms: 2}],
      expected: {notes: 7, forms: 3},
    },
    {
      name: 'nothing of the first heartbeats, which are a part',
      ageMs: OPEN_MS - 1,
      counts: [{notes: 5}],
      expected: {},
    },
  ];
  for (const {name, ageMs, counts, expected} of CASES) {
    it(`remembers across a restart ${name}`, async () => {
      assert.deepEqual(await restartAfter(ageMs, ...counts), expected);
    });
  }

  it('remembers the present counts, not the highest ever', async () => {
    const disk = new MemoryDisk();
    const {census, advance} = await start(disk);
    advance(OPEN_MS);
    for (const notes of [9, 4]) {
      census.learn({notes});
      await census.save();
    }
    const {census: restarted} = await start(disk);
    assert.deepEqual(restarted.current()?.expected, {notes: 4});
  });

  it('says how long it is open, and is closed afterwards', async () => {
    const {census, advance} = await start(new MemoryDisk());
    advance(OPEN_MS - 1);
    assert.equal(census.current()?.openForMs, 1);
    advance(1);
    assert.equal(census.current(), undefined);
  });

  for (const {name, file} of [
    {
      name: 'can not be read',
      file: {
        read: () => Promise.reject(new Error('EIO')),
        write: () => Promise.reject(new Error('ENOSPC')),
      },
    },
    {
      name: 'has something else in it',
      file: {
        read: async () => succeed('{"notes":"many"}'),
        write: () => Promise.reject(new Error('ENOSPC')),
      },
    },
  ]) {
    it(`works on a disk whose file ${name}`, async t => {
      const warn = mock.method(getLogger('census'), 'warn', () => undefined);
      t.after(() => warn.mock.restore());
      let nowMs = 0;
      const options = {heartbeatMs: HEARTBEAT_MS, file, now: () => nowMs};
      const census = new BackendCensus(options);
      await census.load();
      assert.deepEqual(census.current()?.expected, {});
      nowMs = OPEN_MS;
      census.learn({notes: 3});
      await census.save();
      assert.equal(warn.mock.callCount(), 2);
    });
  }
});
