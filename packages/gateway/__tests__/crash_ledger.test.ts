import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {requestSuspect} from '../src/quarantine/request_suspect.js';
import {CrashLedger} from '../src/quarantine/crash_ledger.js';

interface Step {
  /** Backend server that ended; without one, the parts were answered. */
  readonly ended?: string;
  readonly parts?: readonly string[];
  /** Request that it was answering; without one, a host did not tell. */
  readonly request?: string;
  readonly service?: string;
  readonly atMs?: number;
}

interface Case {
  readonly name: string;
  readonly steps: readonly Step[];
  readonly culprit?: string;
  readonly otherCulprits?: readonly string[];
  readonly quarantined?: string;
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

const R1 = requestSuspect('1');
const R2 = requestSuspect('2');

/** Ends of the backend servers `e1`, `e2`, … under the requests given for each. */
function createRequestEnds(
  ...requests: ReadonlyArray<readonly string[]>
): Step[] {
  return requests.flatMap((together, index) =>
    together.map(request => ({ended: `e${index}`, request})),
  );
}

const REQUEST_CASES: readonly Case[] = [
  {name: 'two ends under a request', steps: createRequestEnds([R1], [R1])},
  {
    name: 'three ends under a request',
    steps: createRequestEnds([R1], [R1], [R1]),
    culprit: R1,
  },
  {
    name: 'three ends under a request beside others',
    steps: createRequestEnds([R1, 'a'], [R1, R2], [R1, 'b']),
    culprit: R1,
  },
  {
    name: 'two requests that were on all of three ends',
    steps: createRequestEnds([R1, R2], [R1, R2], [R1, R2]),
    culprit: R1,
    otherCulprits: [R2],
  },
  {
    name: 'a bystander of a request in quarantine',
    steps: createRequestEnds([R1, R2], [R1, R2], [R1, R2]),
    quarantined: R1,
  },
  {
    name: 'a bystander that a host reports later',
    steps: [
      ...createRequestEnds([R1], [R1], [R1]),
      ...createRequestEnds([R2], [R2], [R2]),
    ],
    quarantined: R1,
  },
  {
    name: 'a request that was answered since',
    steps: createRequestEnds([R1], [R1], [R1]).concat({parts: [R1], atMs: 1}),
    atMs: 30_000,
  },
  {
    name: 'a request on some of many servers that end',
    steps: [
      ...createRequestEnds([R1], [R1], [R1]),
      ...Array.from({length: 12}, (_, index) => ({
        ended: `other${index}`,
        request: `r${index}`,
      })),
    ],
  },
  {
    name: 'a request whose service has no other ends than those',
    steps: [
      ...createRequestEnds([R1], [R1], [R1]),
      ...Array.from({length: 12}, (_, index) => ({
        ended: `other${index}`,
        request: `r${index}`,
        service: 'engines',
      })),
    ],
    culprit: R1,
  },
  {
    name: 'one request rather than the parts of its prompt',
    steps: ['e1', 'e2', 'e3'].map(ended => ({
      ended,
      request: R1,
      parts: ['x'],
    })),
    culprit: R1,
  },
  {
    name: 'the part of one request in quarantine',
    steps: ['e1', 'e2', 'e3'].map(ended => ({
      ended,
      request: R1,
      parts: ['x'],
    })),
    quarantined: R1,
  },
  {
    name: 'the part that a second request has too',
    steps: ['e1', 'e2', 'e3', 'e4'].map(ended => ({
      ended,
      request: ended === 'e4' ? R2 : R1,
      parts: ['x'],
    })),
    culprit: 'x',
  },
];

describe('CrashLedger', () => {
  for (const {
    name,
    steps,
    culprit,
    otherCulprits = [],
    quarantined,
    atMs = 0,
  } of [...CASES, ...REQUEST_CASES]) {
    it(`${culprit ? `blames ${culprit}` : 'blames nothing'} for ${name}`, () => {
      const ledger = new CrashLedger();
      for (const step of steps) {
        const {ended, parts = [], request, service, atMs: stepMs = 0} = step;
        const end = {incarnation: 1, parts: [...parts], request, service};
        if (ended === undefined) ledger.recordSound(parts, stepMs);
        else ledger.recordCrash({backend: ended, ...end}, stepMs);
      }
      const found = ledger.findCulprits(atMs, id => id === quarantined);
      const expected = culprit === undefined ? [] : [culprit, ...otherCulprits];
      assert.deepEqual(found, expected);
    });
  }

  it('blames no other part for ends that a quarantined part explains', () => {
    const ledger = new CrashLedger();
    for (const backend of ['e1', 'e2', 'e3'])
      ledger.recordCrash({backend, incarnation: 1, parts: ['f', 'x']}, 0);
    const isQuarantined = (suspect: string): boolean => suspect === 'x';
    assert.deepEqual(ledger.findCulprits(0, isQuarantined), []);
  });

  it('gives each report in turn with its age, until it expires', () => {
    const ledger = new CrashLedger();
    const end = {incarnation: 1, parts: ['x']};
    for (const backend of ['e1', 'e2', 'e3', 'e4', 'e5'])
      ledger.recordCrash({...end, backend}, 100);
    const given = [2, 2, 2].flatMap(count => ledger.takeReports(150, count));
    assert.equal(new Set(given.map(({backend}) => backend)).size, 5);
    assert.ok(given.every(({ageMs}) => ageMs === 50));
    assert.equal(ledger.recordCrash({...end, backend: 'e1'}, 150), false);
    assert.deepEqual(ledger.takeReports(70_000, 2), []);
  });
});
