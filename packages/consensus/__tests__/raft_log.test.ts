import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {EntryKind} from '../src/index.js';
import {RaftLog} from '../src/raft_log.js';

const ENTRIES = 10;
const ENTRY_BYTES = 100;

function createLog(baseIndex: number): RaftLog {
  const log = new RaftLog({index: baseIndex, term: 1, members: []});
  for (let index = baseIndex + 1; index <= baseIndex + ENTRIES; index++) {
    const data = 'x'.repeat(ENTRY_BYTES);
    log.truncateAndAppend({index, term: 1, kind: EntryKind.Command, data});
  }
  return log;
}

describe('the entries kept before a snapshot', () => {
  const CASES = [
    {name: 'all that there are', maxEntries: 99, maxBytes: 9_999, kept: 10},
    {name: 'at most a number', maxEntries: 3, maxBytes: 9_999, kept: 3},
    {name: 'at most a size', maxEntries: 99, maxBytes: 450, kept: 4},
    {name: 'none over the size', maxEntries: 99, maxBytes: 50, kept: 0},
  ];
  for (const {name, maxEntries, maxBytes, kept} of CASES) {
    it(`are ${name}`, () => {
      const last = 5 + ENTRIES;
      const start = createLog(5).compactionIndex(last, maxEntries, maxBytes);
      assert.equal(last - start, kept);
    });
  }
});
