import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {SharedRetryBudget} from '../src/request/shared_retry_budget.js';

const LIMITS = {ratio: 0.2, windowMs: 10_000, allowance: 100};

function acquireAll(budget: SharedRetryBudget, nowMs: number): number {
  let acquired = 0;
  while (acquired < 10_000 && budget.acquire('notes', nowMs)) acquired++;
  return acquired;
}

describe('SharedRetryBudget', () => {
  const CASES = [
    {hosts: 1, requests: 0, most: 100},
    {hosts: 5, requests: 0, most: 20},
    {hosts: 5, requests: 100, most: 40},
    {hosts: 50, requests: 10, most: 4},
    {hosts: Infinity, requests: 100, most: 20},
  ];
  for (const {hosts, requests, most} of CASES) {
    it(`allows its share of ${hosts} hosts' limit after ${requests} requests`, () => {
      const budget = new SharedRetryBudget(LIMITS);
      budget.setHostCount(hosts);
      for (let at = 0; at < requests; at++) budget.countRequest('notes', 0);
      const acquired = acquireAll(budget, 0);
      assert.ok(acquired > 0 && acquired <= most, `acquired ${acquired}`);
    });
  }

  it('allows another retry for one whose attempt was not sent', () => {
    const budget = new SharedRetryBudget(LIMITS);
    const acquired = acquireAll(budget, 0);
    budget.refund('notes', 0);
    assert.deepEqual([acquireAll(budget, 0), acquired > 0], [1, true]);
  });

  it('limits the retries in any window of its length', () => {
    const budget = new SharedRetryBudget(LIMITS);
    const acquired = [0, 4_000, 8_000, 9_999].map(ms => acquireAll(budget, ms));
    assert.ok(acquired.reduce((sum, count) => sum + count) <= LIMITS.allowance);
    assert.ok(acquireAll(budget, 10_001) > 0);
  });
});
