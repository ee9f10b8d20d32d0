import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {PresenceState, type Presence} from '@vanillamux/protocol';
import fc from 'fast-check';
import {PresenceTable} from '../src/index.js';

const {Ready, Draining, Silent, Gone} = PresenceState;

const ELSEWHERE = {host: '10.0.0.2', port: 80};

function createReport(fields: Partial<Presence>): Presence {
  return {
    id: 'a',
    incarnation: 1,
    sequence: 1,
    state: Ready,
    service: 'notes',
    address: {host: '10.0.0.1', port: 80},
    failureDomain: 'fd-a',
    capacity: 4,
    ...fields,
  };
}

const CASES: Array<{
  readonly name: string;
  readonly reports: ReadonlyArray<Partial<Presence>>;
  /** Final state and sequence of backend server `a`. */
  readonly expected: readonly [PresenceState, number];
}> = [
  {
    name: 'ignores a late heartbeat',
    reports: [{sequence: 5, state: Draining}, {sequence: 4}],
    expected: [Draining, 5],
  },
  {
    name: 'keeps a draining incarnation draining',
    reports: [{sequence: 5, state: Draining}, {sequence: 6}],
    expected: [Draining, 6],
  },
  {
    name: 'ignores a heartbeat of an incarnation that is gone',
    reports: [{sequence: 5}, {sequence: 5, state: Gone}, {sequence: 6}],
    expected: [Gone, 5],
  },
  {
    name: 'accepts a low sequence of a new incarnation',
    reports: [
      {sequence: 9, state: Gone},
      {incarnation: 2, sequence: 1},
    ],
    expected: [Ready, 1],
  },
  {
    name: 'ignores a heartbeat of the previous incarnation',
    reports: [{incarnation: 2, sequence: 1}, {sequence: 40}],
    expected: [Ready, 1],
  },
  {
    name: 'marks a silent backend server as ready at its next heartbeat',
    reports: [{sequence: 3}, {sequence: 3, state: Silent}, {sequence: 4}],
    expected: [Ready, 4],
  },
  {
    name: 'ignores silence that a host with outdated reports detected',
    reports: [{sequence: 9}, {sequence: 3, state: Silent}],
    expected: [Ready, 9],
  },
  {
    name: 'marks it as gone when a later backend server has its address',
    reports: [{sequence: 3}, {id: 'b', incarnation: 2}],
    expected: [Gone, 3],
  },
  {
    name: 'ignores an earlier backend server at its address',
    reports: [{incarnation: 3}, {id: 'b', incarnation: 2, sequence: 50}],
    expected: [Ready, 1],
  },
  // Servers used to be dropped when another one got an address they had left.
  {
    name: 'keeps a new incarnation whose former address another one gets',
    reports: [
      {},
      {incarnation: 2, address: ELSEWHERE},
      {id: 'b', incarnation: 3},
    ],
    expected: [Ready, 1],
  },
  {
    name: 'keeps an incarnation that has moved from an address another one gets',
    reports: [{}, {sequence: 2, address: ELSEWHERE}, {id: 'b', incarnation: 3}],
    expected: [Ready, 2],
  },
  {
    name: 'keeps a new incarnation after the end of the one at the address',
    reports: [
      {},
      {state: Gone},
      {incarnation: 2, address: ELSEWHERE},
      {id: 'b', incarnation: 3},
      {incarnation: 2, sequence: 2, address: ELSEWHERE},
    ],
    expected: [Ready, 2],
  },
  {
    name: 'marks it as gone when a later one has the address that it moved to',
    reports: [
      {},
      {incarnation: 2, address: ELSEWHERE},
      {id: 'b', incarnation: 3, address: ELSEWHERE},
    ],
    expected: [Gone, 1],
  },
];

describe('PresenceTable', () => {
  for (const {name, reports, expected} of CASES) {
    it(name, () => {
      const table = new PresenceTable();
      for (const fields of reports) table.apply(createReport(fields));
      const {state, sequence} = table.get('a')!;
      assert.deepEqual([state, sequence], expected);
    });
  }

  it('agrees on incarnation and end for any rotation of the reports', () => {
    const reportFields = fc.record({
      incarnation: fc.integer({min: 1, max: 3}),
      sequence: fc.integer({min: 1, max: 5}),
      state: fc.constantFrom(Ready, Silent, Gone),
    });
    fc.assert(
      fc.property(
        fc.array(reportFields, {maxLength: 12}),
        fc.nat(),
        (reports, rotation) => {
          const rotated = reports.map(
            (_, index) => reports[(index + rotation) % reports.length]!,
          );
          const [original, reordered] = [reports, rotated].map(order => {
            const table = new PresenceTable();
            for (const fields of order) table.apply(createReport(fields));
            const found = table.get('a');
            return found && `${found.incarnation} ${found.state === Gone}`;
          });
          assert.equal(original, reordered);
        },
      ),
      {seed: 7, numRuns: 300},
    );
  });
});
