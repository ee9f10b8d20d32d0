import assert from 'node:assert/strict';
import {readFileSync} from 'node:fs';
import {describe, it} from 'node:test';
import fc from 'fast-check';
import {
  Operator,
  parseQuery,
  QueryKind,
  selectRows,
  Subject,
  type ShowQuery,
} from '../src/index.js';

const PAGE = 'docs/operators/query-language.md';
const EXAMPLE = /^ {4}vmux> (.+)$/gm;

describe('the query and command language', () => {
  it('parses every clause of a show statement', () => {
    const parsed = parseQuery(
      'show requests where workspace = "tartu" and tokens > 100 since 2h order by at desc limit 20',
    );
    assert.ok(parsed.ok);
    assert.deepEqual(parsed.value, {
      kind: QueryKind.Show,
      subject: Subject.Requests,
      conditions: [
        {field: 'workspace', operator: Operator.Equal, value: 'tartu'},
        {field: 'tokens', operator: Operator.Greater, value: 100},
      ],
      sinceMs: 7_200_000,
      orderBy: 'at',
      isDescending: true,
      limit: 20,
    });
  });

  for (const {text, expected} of [
    {
      text: 'explain request entry-1-6f0e',
      expected: {kind: QueryKind.Explain, requestId: 'entry-1-6f0e'},
    },
    {
      text: 'what happened to key "claim 7"',
      expected: {kind: QueryKind.KeyHistory, key: 'claim 7'},
    },
    {
      text: 'set class rush limit concurrency 40',
      expected: {
        kind: QueryKind.Set,
        list: 'classes',
        name: 'rush',
        field: 'concurrency',
        value: 40,
      },
    },
    {
      text: 'drain backend engine-4',
      expected: {kind: QueryKind.Drain, backend: 'engine-4', isDrained: true},
    },
    {
      text: 'settle request entry-1-6f0e as done',
      expected: {
        kind: QueryKind.Settle,
        requestId: 'entry-1-6f0e',
        outcome: 'done',
      },
    },
  ]) {
    it(`parses "${text}"`, () => {
      const parsed = parseQuery(text);
      assert.ok(parsed.ok, parsed.ok ? '' : parsed.error.message);
      assert.deepEqual(parsed.value, expected);
    });
  }

  for (const {text, column, suggestion} of [
    {text: 'shwo requests', column: 1, suggestion: 'show'},
    {text: 'show reqests', column: 6, suggestion: 'requests'},
    {text: 'show requests were state = 1', column: 15, suggestion: 'where'},
    {text: 'show requests where workspace', column: 30, suggestion: undefined},
    {text: 'show requests limit ;', column: 21, suggestion: undefined},
    {text: 'drain engine-4', column: 7, suggestion: undefined},
  ]) {
    it(`reports an error at column ${column} of "${text}"`, () => {
      const parsed = parseQuery(text);
      assert.ok(!parsed.ok);
      assert.equal(parsed.error.column, column);
      assert.equal(parsed.error.suggestion, suggestion);
    });
  }

  it('returns a statement or an error with a column for any text', () => {
    fc.assert(
      fc.property(fc.string(), text => {
        const parsed = parseQuery(text);
        if (!parsed.ok) assert.ok(parsed.error.column >= 1);
      }),
      {numRuns: 300, seed: 20_261_203},
    );
  });

  it('parses every example of the operators’ page', () => {
    const examples = [...readFileSync(PAGE, 'utf8').matchAll(EXAMPLE)];
    assert.ok(examples.length >= 8);
    for (const [, text = ''] of examples) {
      const parsed = parseQuery(text);
      assert.ok(parsed.ok, parsed.ok ? '' : parsed.error.message);
    }
  });

  it('filters, orders and limits rows', () => {
    const parsed = parseQuery(
      'show backends where streams > 1 order by streams desc limit 2',
    );
    assert.ok(parsed.ok);
    const rows = [3, 1, 10, 2].map(streams => ({id: `b${streams}`, streams}));
    assert.deepEqual(
      selectRows(rows, parsed.value as ShowQuery).map(({id}) => id),
      ['b10', 'b3'],
    );
  });
});
