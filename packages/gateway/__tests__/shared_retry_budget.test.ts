import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {SharedRetryBudget} from '../src/request/shared_retry_budget.js';

const LIMITS = {ratio: 0.2, windowMs: 10_000, allowance: 100};

function takeAll(budget: SharedRetryBudget, nowMs: number): number {
  let taken = 0;
  while (taken < 10_000 && budget.take('notes', nowMs)) taken++;
  return taken;
}

describe('SharedRetryBudget', () => {
  const CASES = [
    {hosts: 1, requests: 0, most: 100},
    {hosts: 5, requests: 0, most: 20},
    {hosts: 5, requests: 100, most: 40},
    {hosts: 50, requests: 10, most: 4},
  ];
  for (const {hosts, requests, most} of CASES) {
    it(`stays within its part of ${hosts} hosts' limit at ${requests} requests`, () => {
      const budget = new SharedRetryBudget(LIMITS);
      budget.shareWith(hosts);
      for (let at = 0; at < requests; at++) budget.noteRequest('notes', 0);
      const taken = takeAll(budget, 0);
      assert.ok(taken > 0 && taken <= most, `took ${taken}`);
    });
  }

  it('holds over any window of its length', () => {
    const budget = new SharedRetryBudget(LIMITS);
    const taken = [0, 4_000, 8_000, 9_999].map(ms => takeAll(budget, ms));
    assert.ok(taken.reduce((sum, count) => sum + count) <= LIMITS.allowance);
    assert.ok(takeAll(budget, 10_001) > 0);
  });
});
