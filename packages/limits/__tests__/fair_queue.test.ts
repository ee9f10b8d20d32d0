import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import fc from 'fast-check';
import {FairQueue, TokenBucket} from '../src/index.js';

const RUNS = Number(process.env['VMUX_PROPERTY_RUNS'] ?? 200);
const property = {numRuns: RUNS, seed: 20_261_203};
const MAX_COST = 1_000;

const flows = fc.array(
  fc.record({
    weight: fc.integer({min: 1, max: 4}),
    costs: fc.array(fc.integer({min: 1, max: MAX_COST}), {
      minLength: 30,
      maxLength: 60,
    }),
  }),
  {minLength: 2, maxLength: 4},
);

describe('fair queue', () => {
  it('serves backlogged flows by weight, within one item of each', () => {
    fc.assert(
      fc.property(flows, plan => {
        const queue = new FairQueue<{flow: number; cost: number}>();
        plan.forEach(({weight, costs}, flow) => {
          for (const cost of costs) {
            queue.push({flow, cost}, `f${flow}`, cost, weight);
          }
        });
        const remaining = plan.map(({costs}) => costs.length);
        const served = plan.map(() => 0);
        while (remaining.every(count => count > 0)) {
          const item = queue.pop()!;
          remaining[item.flow]!--;
          served[item.flow]! += item.cost / plan[item.flow]!.weight;
        }
        // Bound of start-time fair queueing: one largest item of each flow.
        const spread = Math.max(...served) - Math.min(...served);
        assert.ok(spread <= 2 * MAX_COST, `spread ${spread}`);
      }),
      property,
    );
  });

  it('does not let a flow save up what it did not use', () => {
    const queue = new FairQueue<string>();
    for (let count = 0; count < 10; count++) queue.push('busy', 'a', 100, 1);
    for (let count = 0; count < 8; count++) queue.pop();
    for (let count = 0; count < 4; count++) queue.push('late', 'b', 100, 1);
    const order = Array.from({length: 4}, () => queue.pop());
    assert.equal(order.filter(item => item === 'late').length, 2);
  });

  it('forgets an item that is removed', () => {
    const queue = new FairQueue<string>();
    queue.push('x', 'a', 1, 1);
    assert.equal(queue.remove('x'), true);
    assert.equal(queue.remove('x'), false);
    assert.equal(queue.pop(), undefined);
  });
});

describe('token bucket', () => {
  it('never passes more than burst and rate, whatever is asked', () => {
    fc.assert(
      fc.property(
        fc.array(fc.tuple(fc.nat(500), fc.nat(300)), {maxLength: 50}),
        requests => {
          let nowMs = 0;
          const bucket = new TokenBucket({
            tokensPerSecond: 1_000,
            burstTokens: 200,
            now: () => nowMs,
          });
          let acquired = 0;
          for (const [waitMs, tokens] of requests) {
            nowMs += waitMs;
            // A debt of one large request may precede its refill.
            const allowed = 200 + nowMs + 300;
            if (bucket.tryAcquire(tokens) === 0) acquired += tokens;
            assert.ok(acquired <= allowed, `${acquired} > ${allowed}`);
          }
        },
      ),
      property,
    );
  });

  it('says when a refused request can come again', () => {
    let nowMs = 0;
    const bucket = new TokenBucket({
      tokensPerSecond: 100,
      burstTokens: 50,
      now: () => nowMs,
    });
    assert.equal(bucket.tryAcquire(50), 0);
    const retryAfterMs = bucket.tryAcquire(20);
    assert.equal(retryAfterMs, 200);
    nowMs += retryAfterMs;
    assert.equal(bucket.tryAcquire(20), 0);
  });
});
