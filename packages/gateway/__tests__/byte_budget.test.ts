import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import fc from 'fast-check';
import {ByteBudget} from '../src/bytes/byte_budget.js';

const KIB = 1_024;
const FREE_BYTES = 16 * KIB;
const MAX_BYTES = 1_024 * KIB;

/** Adds parts of 64 KiB until there is no room; returns the bytes added. */
function fill(budget: ByteBudget, subject: string): number {
  const hold = budget.open(subject);
  const partBytes = 64 * KIB;
  let bytes = 0;
  while (hold.add(partBytes)) bytes += partBytes;
  return bytes;
}

describe('ByteBudget', () => {
  it('needs no room for small bodies, also when it is full', () => {
    const budget = new ByteBudget(MAX_BYTES);
    for (let subject = 0; subject < 20; subject++) fill(budget, `s${subject}`);
    const hold = budget.open('s0');
    assert.ok(hold.add(FREE_BYTES));
    assert.equal(hold.add(KIB), false);
  });

  it('gives a subject that is alone a half', () => {
    const bytes = fill(new ByteBudget(MAX_BYTES), 'a');
    assert.ok(bytes <= MAX_BYTES / 2 + FREE_BYTES, `${bytes}`);
    assert.ok(bytes > MAX_BYTES / 2 - 64 * KIB, `${bytes}`);
  });

  it('leaves room for one that holds nothing while others press', () => {
    const budget = new ByteBudget(MAX_BYTES);
    for (let round = 0; round < 4; round++)
      for (const subject of ['a', 'b', 'c']) fill(budget, subject);
    assert.ok(budget.open('d').add(64 * KIB));
  });

  it('has room again for what is released', () => {
    const budget = new ByteBudget(MAX_BYTES);
    const hold = budget.open('a');
    assert.ok(hold.add(MAX_BYTES / 2));
    assert.equal(budget.open('a').add(MAX_BYTES / 4), false);
    hold.release();
    assert.equal(budget.heldBytes, 0);
    assert.ok(budget.open('a').add(MAX_BYTES / 4));
    assert.equal(budget.refusals, 1);
  });

  // Each body was bounded before, and nothing bounded their sum.
  it('never holds more than its maximum, and nothing once all is released', () => {
    const steps = fc.array(
      fc.record({
        subject: fc.constantFrom('a', 'b', 'c'),
        bytes: fc.integer({min: 1, max: 512 * KIB}),
        isReleased: fc.boolean(),
      }),
      {maxLength: 60},
    );
    fc.assert(
      fc.property(steps, rows => {
        const budget = new ByteBudget(MAX_BYTES);
        const holds = rows.map(({subject, bytes, isReleased}) => {
          const hold = budget.open(subject);
          hold.add(bytes);
          assert.ok(budget.heldBytes <= MAX_BYTES);
          if (isReleased) hold.release();
          return hold;
        });
        for (const hold of holds) hold.release();
        assert.equal(budget.heldBytes, 0);
      }),
      {seed: 45, numRuns: 200},
    );
  });
});
