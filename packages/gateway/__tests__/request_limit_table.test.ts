import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {RequestLimitTable} from '../src/request_limits/request_limit_table.js';
import {createBackends} from './create_backend.js';

interface Step {
  /** Limit that a response named; `null` for none. */
  readonly named?: number | null;
  /** When the request of that response was sent. */
  readonly sentMs?: number;
  /** Fact of another host: generation, limit and incarnation. */
  readonly heard?: readonly [number, number | null, number?];
}

const CASES: ReadonlyArray<{
  readonly name: string;
  readonly steps: readonly Step[];
  readonly limit?: number;
}> = [
  {name: 'a response that names none', steps: [{named: null}]},
  {name: 'a response that names one', steps: [{named: 2}], limit: 2},
  {name: 'a changed limit', steps: [{named: 2}, {named: 0}], limit: 0},
  {name: 'an ended limit', steps: [{named: 2}, {named: null, sentMs: 9}]},
  {
    name: 'a response to a request that is older than the limit',
    steps: [{named: 2}, {named: null, sentMs: -1}],
    limit: 2,
  },
  {name: 'a fact of a peer', steps: [{heard: [1, 3]}], limit: 3},
  {
    name: 'a fact about another incarnation',
    steps: [{heard: [9, 3, 2]}],
  },
  {
    name: 'an older fact after an ended limit',
    steps: [{named: 2}, {named: null, sentMs: 9}, {heard: [1, 2]}],
  },
  {
    name: 'contradictory facts of one generation',
    steps: [{heard: [1, 3]}, {heard: [1, 2]}, {heard: [1, null]}],
    limit: 2,
  },
  {
    name: 'old knowledge of a host that was cut off',
    steps: [{named: 5}, {heard: [3, 1]}, {heard: [2, 5]}],
    limit: 1,
  },
];

describe('RequestLimitTable', () => {
  for (const {name, steps, limit} of CASES) {
    it(`has ${limit === undefined ? 'no limit' : `a limit of ${limit}`} after ${name}`, () => {
      const [backend] = createBackends(1);
      const table = new RequestLimitTable();
      for (const {named, heard, sentMs = 0} of steps) {
        if (named !== undefined) table.observe(backend!, named, sentMs, 0);
        if (!heard) continue;
        const [generation, perSecond, incarnation = 1] = heard;
        const fact = {backend: 'b0', incarnation, generation, perSecond};
        table.merge(fact, 0);
      }
      assert.equal(table.get(backend!)?.perSecond, limit);
    });
  }

  it('gives each fact in turn', () => {
    const table = new RequestLimitTable();
    for (const backend of createBackends(5)) table.observe(backend, 1, 0, 0);
    const given = [2, 2, 2].flatMap(count => table.takeFacts(count));
    assert.equal(new Set(given.map(({backend}) => backend)).size, 5);
  });
});
