import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {SuspectQuarantine} from '../src/quarantine/suspect_quarantine.js';

const FIRST_QUARANTINE_MS = 60_000;
const SUSPECT = 'x';

function createFact(generation: number, isLifted: boolean) {
  return {
    suspect: SUSPECT,
    generation,
    isLifted,
    remainingMs: FIRST_QUARANTINE_MS,
  };
}

const MERGE_CASES = [
  {known: createFact(1, false), heard: createFact(1, true), isKept: false},
  {known: createFact(1, true), heard: createFact(1, false), isKept: false},
  {known: createFact(1, true), heard: createFact(2, false), isKept: true},
  {known: createFact(2, false), heard: createFact(1, true), isKept: true},
  {known: createFact(2, false), heard: createFact(1, false), isKept: true},
];

describe('SuspectQuarantine', () => {
  it('lets one request through when a trial is due', () => {
    const quarantine = new SuspectQuarantine();
    quarantine.add(SUSPECT, 0);
    assert.equal(
      quarantine.startTrial(SUSPECT, FIRST_QUARANTINE_MS - 1),
      false,
    );
    assert.equal(quarantine.startTrial(SUSPECT, FIRST_QUARANTINE_MS), true);
    assert.equal(
      quarantine.startTrial(SUSPECT, FIRST_QUARANTINE_MS + 1),
      false,
    );
  });

  it('waits twice as long after each trial that failed', () => {
    const quarantine = new SuspectQuarantine();
    const durations = [0, 0, 0].map(
      () => quarantine.add(SUSPECT, 0).remainingMs,
    );
    assert.deepEqual(durations, [60_000, 120_000, 240_000]);
  });

  for (const {known, heard, isKept} of MERGE_CASES) {
    it(`${isKept ? 'keeps' : 'has no'} quarantine after ${JSON.stringify([known, heard])}`, () => {
      const quarantine = new SuspectQuarantine();
      quarantine.merge(known, 0);
      quarantine.merge(heard, 0);
      assert.equal(quarantine.has(SUSPECT), isKept);
    });
  }

  it('passes on the same facts whatever the order of their arrival', () => {
    const facts = [
      createFact(1, false),
      createFact(1, true),
      createFact(2, false),
    ];
    const results = [facts, [...facts].reverse()].map(order => {
      const quarantine = new SuspectQuarantine();
      for (const fact of order) quarantine.merge(fact, 0);
      return quarantine.takeFacts(0, 8);
    });
    assert.deepEqual(results[0], results[1]);
  });

  it('forgets a suspect some time after its quarantine, and is bounded', () => {
    const quarantine = new SuspectQuarantine();
    for (let index = 0; index < 1_000; index++) quarantine.add(`p${index}`, 0);
    assert.ok(quarantine.suspects.length <= 256);
    assert.deepEqual(quarantine.takeFacts(24 * 3_600_000, 8), []);
    assert.deepEqual(quarantine.suspects, []);
  });
});
