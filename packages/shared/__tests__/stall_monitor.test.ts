import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {StallMonitor} from '../src/index.js';

const WINDOW_MS = 1_000;

const CASES: ReadonlyArray<{
  readonly name: string;
  /** Times of ticks, of which one is due each 100 ms. */
  readonly ticksMs: readonly number[];
  readonly nowMs: number;
  readonly longestMs: number;
}> = [
  {name: 'ticks in time', ticksMs: [100, 200], nowMs: 300, longestMs: 0},
  {name: 'a late tick', ticksMs: [100, 500], nowMs: 550, longestMs: 300},
  {name: 'a stall that lasts', ticksMs: [100], nowMs: 900, longestMs: 700},
  {
    name: 'a stall within the window',
    ticksMs: [2_100, 2_200, 2_300],
    nowMs: 2_400,
    longestMs: 2_000,
  },
  {
    name: 'a stall before the window',
    ticksMs: [2_100, 2_200, 3_000, 3_100],
    nowMs: 3_150,
    longestMs: 700,
  },
  {
    name: 'two stalls within the window',
    ticksMs: [300, 600, 700],
    nowMs: 700,
    longestMs: 200,
  },
];

describe('StallMonitor', () => {
  for (const {name, ticksMs, nowMs, longestMs} of CASES) {
    it(`finds ${longestMs} ms with ${name}`, () => {
      let time = 0;
      const monitor = new StallMonitor({windowMs: WINDOW_MS, now: () => time});
      monitor.stop();
      for (const tickMs of ticksMs) {
        time = tickMs;
        monitor.tick();
      }
      time = nowMs;
      assert.equal(monitor.longestMs(), longestMs);
    });
  }
});
