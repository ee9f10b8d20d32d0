import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {RetryBudget} from '../src/index.js';

describe('retry budget', () => {
  it('lets at most a fifth of the requests retry in the long run', () => {
    const budget = new RetryBudget();
    let retries = 0;
    for (let request = 0; request < 1_000; request++) {
      budget.deposit('tartu');
      if (budget.tryWithdraw('tartu')) retries++;
    }
    assert.ok(retries <= 211, `${retries} retries`);
    assert.ok(retries >= 200, `${retries} retries`);
  });

  it('keeps workspaces apart', () => {
    const budget = new RetryBudget();
    while (budget.tryWithdraw('tartu'));
    assert.equal(budget.tryWithdraw('viljandi'), true);
  });
});
