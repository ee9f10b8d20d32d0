import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {EnginePace} from '../src/fleet/engine_pace.js';

const CASES = [
  {name: 'too few iterations', ratios: [4, 4, 4], ageMs: 0, factor: 1},
  {name: 'slow iterations', ratios: [4, 5, 4, 6], ageMs: 0, factor: 4},
  {
    name: 'iterations of which some process prompts',
    ratios: [9, 1, 9, 9],
    ageMs: 0,
    factor: 1,
  },
  {
    name: 'iterations that are hardly slow',
    ratios: [1.4, 1.4, 1.4, 1.4],
    ageMs: 0,
    factor: 1,
  },
  {
    name: 'an engine that is sound again',
    ratios: [4, 4, 4, 4, 1],
    ageMs: 0,
    factor: 1,
  },
  {name: 'older iterations', ratios: [5, 5, 5, 5], ageMs: 2_000, factor: 3},
  {name: 'old iterations', ratios: [5, 5, 5, 5], ageMs: 8_000, factor: 1},
  {name: 'fast iterations', ratios: [0.5, 0.5, 0.5, 0.5], ageMs: 0, factor: 1},
];

describe('EnginePace', () => {
  for (const {name, ratios, ageMs, factor} of CASES) {
    it(`has a factor of ${factor} after ${name}`, () => {
      const pace = new EnginePace();
      for (const ratio of ratios) pace.observe(ratio, 0);
      assert.equal(pace.factor(ageMs), factor);
    });
  }
});
