import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {DepartureTable} from '../src/departures/departure_table.js';

const TTL_MS = 30_000;
const MAX_FACTS = 2_048;

describe('DepartureTable', () => {
  const cases = [
    {name: 'a first fact', before: [], incarnation: 5, isNews: true},
    {name: 'the same fact', before: [5], incarnation: 5, isNews: false},
    {name: 'a later incarnation', before: [5], incarnation: 6, isNews: true},
    {
      name: 'an earlier incarnation',
      before: [5],
      incarnation: 4,
      isNews: false,
    },
  ];
  for (const {name, before, incarnation, isNews} of cases) {
    it(`takes ${name} as ${isNews ? 'news' : 'known'}`, () => {
      const table = new DepartureTable();
      for (const known of before)
        table.record({backend: 'b', incarnation: known}, 0);
      assert.equal(table.record({backend: 'b', incarnation}, 1), isNews);
      assert.equal(table.size, 1);
    });
  }

  it('forgets an incarnation that has ended, and no other', () => {
    const table = new DepartureTable();
    table.record({backend: 'b', incarnation: 2}, 0);
    table.remove({id: 'b', incarnation: 1});
    assert.ok(table.has({id: 'b', incarnation: 2}));
    table.remove({id: 'b', incarnation: 2});
    assert.ok(!table.has({id: 'b', incarnation: 2}));
  });

  it('holds facts about unknown incarnations for a time', () => {
    const table = new DepartureTable();
    table.record({backend: 'known', incarnation: 1}, 0);
    table.record({backend: 'unknown', incarnation: 1}, 0);
    const isKnown = ({backend}: {backend: string}): boolean =>
      backend === 'known';
    table.deleteExpired(isKnown, TTL_MS);
    assert.equal(table.size, 2);
    table.deleteExpired(isKnown, TTL_MS + 1);
    assert.deepEqual(table.takeFacts(2), [{backend: 'known', incarnation: 1}]);
  });

  it('is bounded, and returns its facts in turn', () => {
    const table = new DepartureTable();
    for (let index = 0; index <= MAX_FACTS; index++)
      table.record({backend: `b${index}`, incarnation: 1}, 0);
    assert.equal(table.size, MAX_FACTS);
    const first = table.takeFacts(8).map(({backend}) => backend);
    const second = table.takeFacts(8).map(({backend}) => backend);
    assert.equal(new Set([...first, ...second]).size, 16);
  });
});
