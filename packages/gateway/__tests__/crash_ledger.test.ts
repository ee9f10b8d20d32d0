import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {CrashLedger} from '../src/quarantine/crash_ledger.js';

interface Step {
  /** Backend server that ended; without one, the parts were answered. */
  readonly ended?: string;
  readonly parts: readonly string[];
  readonly atMs?: number;
}

interface Case {
  readonly name: string;
  readonly steps: readonly Step[];
  readonly culprit?: string;
  readonly atMs?: number;
}

function createEnds(count: number, parts: readonly string[]): Step[] {
  return Array.from({length: count}, (_, index) => ({
    ended: `e${index}`,
    parts,
  }));
}

const CASES: readonly Case[] = [
  {name: 'too few ends', steps: createEnds(2, ['x'])},
  {name: 'enough ends', steps: createEnds(3, ['x']), culprit: 'x'},
  {
    name: 'one end that several hosts report',
    steps: [1, 2, 3, 4].map(() => ({ended: 'e1', parts: ['x']})),
  },
  {
    name: 'a part before one that was answered lately',
    steps: [{parts: ['f']}, ...createEnds(3, ['x', 'f'])],
    culprit: 'x',
  },
  {
    name: 'the later of two parts that explain as much',
    steps: createEnds(3, ['f', 'x']),
    culprit: 'x',
  },
  {
    name: 'the part that explains more ends',
    steps: [...createEnds(3, ['x', 'f']), {ended: 'other', parts: ['x', 'g']}],
    culprit: 'x',
  },
  {
    name: 'ends with nothing in common',
    steps: ['a', 'b', 'c', 'd'].map(part => ({ended: part, parts: [part]})),
  },
  {
    name: 'ends that are long past',
    steps: createEnds(3, ['x']),
    atMs: 61_000,
  },
  {
    name: 'a part that has turned faulty since it was answered',
    steps: [
      {parts: ['x']},
      ...createEnds(3, ['x']).map(step => ({...step, atMs: 5_000})),
    ],
    atMs: 11_000,
    culprit: 'x',
  },
];

describe('CrashLedger', () => {
  for (const {name, steps, culprit, atMs = 0} of CASES) {
    it(`${culprit ? `blames ${culprit}` : 'blames nothing'} for ${name}`, () => {
      const ledger = new CrashLedger();
      for (const {ended, parts, atMs: stepMs = 0} of steps) {
        if (ended === undefined) ledger.recordSound(parts, stepMs);
        else
          ledger.recordCrash(
            {backend: ended, incarnation: 1, parts: [...parts]},
            stepMs,
          );
      }
      assert.equal(ledger.findCulprit(atMs), culprit);
    });
  }

  it('blames no other part for ends that a quarantined part explains', () => {
    const ledger = new CrashLedger();
    for (const backend of ['e1', 'e2', 'e3'])
      ledger.recordCrash({backend, incarnation: 1, parts: ['f', 'x']}, 0);
    ledger.explain('x');
    assert.equal(ledger.findCulprit(0), undefined);
  });
});
