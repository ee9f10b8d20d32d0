import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import fc from 'fast-check';
import {InFlightLedger} from '../src/index.js';

const property = {numRuns: 300, seed: 20_261_203};

function createFlight(backendId: string, tokens: number) {
  return {backendId, priority: 1, prefillTokens: tokens, heldTokens: tokens};
}

describe('the account of requests in flight', () => {
  it('is empty once every request has ended, however often it is told', () => {
    const plan = fc.array(
      fc.record({
        backend: fc.nat(2),
        tokens: fc.nat(1_000),
        ends: fc.integer({min: 1, max: 3}),
        endsPrefillFirst: fc.boolean(),
      }),
      {maxLength: 30},
    );
    fc.assert(
      fc.property(plan, flights => {
        const ledger = new InFlightLedger();
        const handles = flights.map(({backend, tokens}) =>
          ledger.add(createFlight(`b${backend}`, tokens)),
        );
        handles.forEach((handle, index) => {
          const {ends, endsPrefillFirst} = flights[index]!;
          if (endsPrefillFirst) handle.endPrefill();
          for (let count = 0; count < ends; count++) handle.end();
        });
        for (const work of ledger.list()) {
          assert.equal(work.requests, 0);
          assert.equal(work.heldTokens, 0);
          assert.ok(work.prefillByPriority.every(tokens => tokens === 0));
        }
      }),
      property,
    );
  });

  it('forgets a backend server that is gone with its last request', () => {
    const ledger = new InFlightLedger();
    const handle = ledger.add(createFlight('b', 10));
    ledger.forget('b');
    assert.equal(ledger.requestsOn('b'), 1);
    handle.end();
    assert.deepEqual(ledger.list(), []);
  });
});
