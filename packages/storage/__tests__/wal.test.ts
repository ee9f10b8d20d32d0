import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import fc from 'fast-check';
import {MemoryDisk, Wal} from '../src/index.js';

const SEGMENT = 'segment-0000000001.wal';
const RUNS = Number(process.env['VMUX_PROPERTY_RUNS'] ?? 200);
const SEED = 20_261_203;
const propertyOptions = {numRuns: RUNS, seed: SEED};

async function openWal(disk: MemoryDisk): Promise<{wal: Wal; texts: string[]}> {
  const opened = await Wal.open(disk);
  assert.ok(opened.ok, opened.ok ? '' : opened.error.message);
  const {wal, payloads} = opened.value;
  return {wal, texts: payloads.map(payload => payload.toString())};
}

/**
 * Appends texts and syncs after those marked `true`. Returns all texts written
 * and those that a sync has acknowledged.
 */
async function appendTexts(
  wal: Wal,
  steps: ReadonlyArray<readonly [string, boolean]>,
): Promise<{written: string[]; synced: string[]}> {
  const written: string[] = [];
  let synced: string[] = [];
  try {
    for (const [text, sync] of steps) {
      wal.append(Buffer.from(text));
      written.push(text);
      if (!sync) continue;
      await wal.sync();
      synced = written.slice();
    }
  } catch (error) {
    assert.match(String(error), /power failed/);
  }
  return {written, synced};
}

const writeSteps = fc.array(fc.tuple(fc.string(), fc.boolean()), {
  maxLength: 20,
});

describe('write-ahead log', () => {
  it('retries while the disk is full and then writes every record once', async () => {
    const disk = new MemoryDisk();
    const {wal} = await openWal(disk);
    wal.append(Buffer.from('before'));
    await wal.sync();
    disk.isFull = true;
    wal.append(Buffer.from('during'));
    const pendingSync = wal.sync();
    let isDurable = false;
    void pendingSync.then(() => (isDurable = true));
    await new Promise(resolve => setTimeout(resolve, 0));
    assert.equal(isDurable, false);
    disk.isFull = false;
    await pendingSync;
    const {texts} = await openWal(disk.crash(() => 0));
    assert.deepEqual(texts, ['before', 'during']);
  });

  it('acknowledges nothing after a write whose records may be lost', async () => {
    const disk = new MemoryDisk();
    const {wal} = await openWal(disk);
    disk.remainingOperations = 0;
    wal.append(Buffer.from('lost'));
    await assert.rejects(wal.sync());
    disk.remainingOperations = Infinity;
    wal.append(Buffer.from('later'));
    await assert.rejects(wal.sync());
    assert.deepEqual((await openWal(disk)).texts, []);
  });

  it('continues after a rotation that failed on a full disk', async () => {
    const disk = new MemoryDisk();
    const {wal} = await openWal(disk);
    disk.isFull = true;
    await assert.rejects(wal.rotate(() => [Buffer.from('snapshot')]));
    disk.isFull = false;
    wal.append(Buffer.from('after'));
    await wal.sync();
    assert.deepEqual((await openWal(disk)).texts, ['after']);
  });

  it('loses no acknowledged record in a power failure', async () => {
    await fc.assert(
      fc.asyncProperty(
        writeSteps,
        fc.nat(60),
        fc.nat(500),
        async (writes, operations, survivingBytes) => {
          const disk = new MemoryDisk();
          const {wal} = await openWal(disk);
          disk.remainingOperations = operations;
          const {written, synced} = await appendTexts(wal, writes);
          const {texts} = await openWal(disk.crash(() => survivingBytes));
          assert.deepEqual(texts.slice(0, synced.length), synced);
          assert.deepEqual(texts, written.slice(0, texts.length));
        },
      ),
      propertyOptions,
    );
  });

  it('reports corruption before the tail and never skips it', async () => {
    await fc.assert(
      fc.asyncProperty(
        fc.array(fc.string({minLength: 1}), {minLength: 3, maxLength: 10}),
        fc.nat(),
        async (texts, bit) => {
          const disk = new MemoryDisk();
          const {wal} = await openWal(disk);
          await appendTexts(
            wal,
            texts.map(text => [text, true] as const),
          );
          disk.flipBit(SEGMENT, bit);
          const opened = await Wal.open(disk);
          if (!opened.ok) {
            assert.equal(opened.error.code, 'log_damaged');
            return;
          }
          // Only the last record has no later one that proves it was synced.
          const {payloads} = opened.value;
          assert.equal(payloads.length, texts.length - 1);
          assert.deepEqual(payloads.map(String), texts.slice(0, -1));
        },
      ),
      propertyOptions,
    );
  });

  for (const restoresRemoved of [false, true]) {
    const names = restoresRemoved ? 'removed files return' : 'none returns';
    it(`keeps the records of a rotation if the power fails at any point of it and ${names}`, async () => {
      for (let operations = 0; operations < 8; operations++) {
        const disk = new MemoryDisk();
        const {wal} = await openWal(disk);
        await appendTexts(wal, [
          ['old', true],
          ['kept', true],
        ]);
        disk.remainingOperations = operations;
        const rotated = await wal
          .rotate(() => [Buffer.from('kept')])
          .then(() => appendTexts(wal, [['new', true]]))
          .catch(() => ({synced: []}));
        const {texts} = await openWal(disk.crash(() => 0, restoresRemoved));
        assert.ok(texts.includes('kept'));
        if (rotated.synced.length > 0) assert.deepEqual(texts, ['kept', 'new']);
      }
    });
  }

  it('makes many pending records durable with few syncs', async () => {
    const {wal} = await openWal(new MemoryDisk());
    const pendingSyncs: Array<Promise<void>> = [];
    for (let index = 0; index < 64; index++) {
      wal.append(Buffer.from(`record ${index}`));
      pendingSyncs.push(wal.sync());
    }
    await Promise.all(pendingSyncs);
    assert.equal(wal.stats.records, 64);
    assert.ok(wal.stats.syncs <= 2, `${wal.stats.syncs} syncs`);
  });
});
