import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {PlanLimit} from '../src/placement/plan_limit.js';

describe('PlanLimit', () => {
  const CASES = [
    {rejected: [], left: 16, allowsAttempt: true},
    {rejected: [16], left: 8, allowsAttempt: true},
    {rejected: [16, 8, 4], left: 2, allowsAttempt: true},
    {rejected: [3], left: 1, allowsAttempt: true},
    {rejected: [1], left: 0, allowsAttempt: true},
    {rejected: [4, 16], left: 2, allowsAttempt: true},
    {rejected: [0], left: 0, allowsAttempt: false},
    {rejected: [1, 0], left: 0, allowsAttempt: false},
  ];
  for (const {rejected, left, allowsAttempt} of CASES) {
    it(`leaves ${left} entries after plans with ${rejected.join() || 'none'} were rejected`, () => {
      const limit = new PlanLimit(16);
      for (const entries of rejected) limit.recordRejection(entries);
      assert.equal(limit.maxHelperEntries, left);
      assert.equal(limit.allowsAttempt, allowsAttempt);
    });
  }
});
