import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {readRetryAfterMs} from '../src/dialect/read_retry_after_ms.js';
import {RequestPause} from '../src/fleet/request_pause.js';
import {spreadRetryAfterMs} from '../src/request/spread_retry_after_ms.js';

const NOW_AT = Date.UTC(2026, 0, 1, 12, 0, 0);
const DAY_MS = 86_400_000;

describe('readRetryAfterMs', () => {
  const cases: Array<
    [string, string | string[] | undefined, number | undefined]
  > = [
    ['no header', undefined, undefined],
    ['an empty value', '', undefined],
    ['zero', '0', 0],
    ['a whole number', '2', 2_000],
    ['a fraction', '0.25', 250],
    ['a negative number', '-3', undefined],
    ['a day', '86400', DAY_MS],
    ['more than a day', '1e9', undefined],
    ['many seconds', '999999999', DAY_MS],
    ['a number and more', '2 s', undefined],
    ['text', 'soon', undefined],
    ['not a number', 'NaN', undefined],
    ['a date', 'Thu, 01 Jan 2026 12:00:05 GMT', 5_000],
    ['a date that is past', 'Thu, 01 Jan 2026 11:00:00 GMT', 0],
    ['two values, of which the longer one counts', ['2', '3'], 3_000],
    ['two values, of which one is none', ['soon', '2'], 2_000],
    ['a date that is none', 'Thu, 99 Foo 2026', undefined],
  ];
  for (const [name, value, expected] of cases) {
    it(`reads ${name}`, () => {
      assert.equal(readRetryAfterMs(value, NOW_AT), expected);
    });
  }
});

describe('RequestPause', () => {
  const cases = [
    {
      name: 'a longer one',
      pauses: [
        [1_000, 0],
        [3_000, 500],
      ],
      endMs: 3_500,
    },
    {
      name: 'a shorter one',
      pauses: [
        [3_000, 0],
        [1_000, 500],
      ],
      endMs: 3_000,
    },
    {name: 'none', pauses: [[2_000, 0]], endMs: 2_000},
  ];
  for (const {name, pauses, endMs} of cases) {
    it(`ends in time if ${name} follows`, () => {
      const pause = new RequestPause();
      assert.equal(pause.remainingMs(0), 0);
      for (const [pauseMs, atMs] of pauses) pause.extend(pauseMs!, atMs!);
      assert.equal(pause.remainingMs(endMs - 1), 1);
      assert.equal(pause.remainingMs(endMs), 0);
    });
  }
});

describe('spreadRetryAfterMs', () => {
  for (const [waitMs, random, expected] of [
    [1_000, 0, 1_000],
    [1_000, 1, 1_250],
    [60_000, 1, 60_500],
    [0, 1, 0],
  ] as const) {
    it(`returns ${expected} ms for ${waitMs} ms and a draw of ${random}`, () => {
      assert.equal(
        spreadRetryAfterMs(waitMs, () => random),
        expected,
      );
    });
  }
});
