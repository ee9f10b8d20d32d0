import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {PresenceState, type Presence} from '@vanillamux/protocol';
import fc from 'fast-check';
import {PresenceTable} from '../src/index.js';

const {Ready, Draining, Silent, Gone} = PresenceState;

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
  /** State of backend server `a` in the end, and its sequence. */
  readonly expected: readonly [PresenceState, number];
}> = [
  {
    name: 'a late heartbeat changes nothing',
    reports: [{sequence: 5, state: Draining}, {sequence: 4}],
    expected: [Draining, 5],
  },
  {
    name: 'a draining life never becomes ready again',
    reports: [{sequence: 5, state: Draining}, {sequence: 6}],
    expected: [Draining, 6],
  },
  {
    name: 'a heartbeat after the end does not revive it',
    reports: [{sequence: 5}, {sequence: 5, state: Gone}, {sequence: 6}],
    expected: [Gone, 5],
  },
  {
    name: 'a new incarnation starts anew with a low sequence',
    reports: [
      {sequence: 9, state: Gone},
      {incarnation: 2, sequence: 1},
    ],
    expected: [Ready, 1],
  },
  {
    name: 'a heartbeat of the former incarnation is ignored',
    reports: [{incarnation: 2, sequence: 1}, {sequence: 40}],
    expected: [Ready, 1],
  },
  {
    name: 'silence ends with the next heartbeat',
    reports: [{sequence: 3}, {sequence: 3, state: Silent}, {sequence: 4}],
    expected: [Ready, 4],
  },
  {
    name: 'silence noted by a host that was left behind changes nothing',
    reports: [{sequence: 9}, {sequence: 3, state: Silent}],
    expected: [Ready, 9],
  },
  {
    name: 'a later backend server at the address ends it',
    reports: [{sequence: 3}, {id: 'b', incarnation: 2}],
    expected: [Gone, 3],
  },
  {
    name: 'an earlier backend server at the address does not end it',
    reports: [{incarnation: 3}, {id: 'b', incarnation: 2, sequence: 50}],
    expected: [Ready, 1],
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

  it('agrees for one life whatever the order of the reports', () => {
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
