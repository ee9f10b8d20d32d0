import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {RetryPolicy} from '../src/config/retry_policy.js';
import {StopGate} from '../src/request/stop_gate.js';
import {createRoute} from './create_config.js';

const CUT_MS = 10_000;
const TIMEOUT_MS = 3_000;

const ONCE = createRoute({retryPolicy: RetryPolicy.AtMostOnce});
const REPEATABLE = createRoute({retryPolicy: RetryPolicy.Idempotent});

const CASES = [
  {name: 'once, with all of its time left', route: ONCE, atMs: 7_000},
  {
    name: 'once, with less than its time left, though it mostly ends soon',
    route: ONCE,
    atMs: 7_001,
    durations: [50],
    isRefused: true,
  },
  {
    name: 'again, with less than its time left, of unknown duration',
    route: REPEATABLE,
    atMs: 7_001,
    isRefused: true,
  },
  {
    name: 'again, if such requests end soon',
    route: REPEATABLE,
    atMs: 9_000,
    durations: [50, 400, 60],
  },
  {
    name: 'again, unless one of the latest took long',
    route: REPEATABLE,
    atMs: 9_000,
    durations: [50, 900, 60],
    isRefused: true,
  },
  {
    name: 'again, when the grace time is over',
    route: REPEATABLE,
    atMs: CUT_MS + 1,
    durations: [1],
    isRefused: true,
  },
];

describe('a host that is about to stop', () => {
  for (const {name, route, atMs, durations = [], isRefused = false} of CASES) {
    it(`${isRefused ? 'refuses' : 'takes'} a request that may run ${name}`, () => {
      const gate = new StopGate();
      for (const durationMs of durations)
        gate.recordDuration(route, durationMs);
      assert.equal(gate.refuses(route, TIMEOUT_MS, atMs), false);
      gate.close(CUT_MS);
      assert.equal(gate.refuses(route, TIMEOUT_MS, atMs), isRefused);
    });
  }
});
