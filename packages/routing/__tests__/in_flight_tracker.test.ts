import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import fc from 'fast-check';
import {InFlightTracker} from '../src/index.js';

const property = {numRuns: 300, seed: 20_261_203};

function createRequest(backendId: string, tokens: number) {
  return {backendId, priority: 1, prefillTokens: tokens, heldTokens: tokens};
}

describe('the account of requests in flight', () => {
  it('is empty once every request has ended, however often it is told', () => {
    const plan = fc.array(
      fc.record({
        backend: fc.nat(2),
        tokens: fc.nat(1_000),
        endCalls: fc.integer({min: 1, max: 3}),
        endsPrefillFirst: fc.boolean(),
      }),
      {maxLength: 30},
    );
    fc.assert(
      fc.property(plan, requests => {
        const tracker = new InFlightTracker();
        const handles = requests.map(({backend, tokens}) =>
          tracker.add(createRequest(`b${backend}`, tokens)),
        );
        handles.forEach((handle, index) => {
          const {endCalls: endCalls, endsPrefillFirst} = requests[index]!;
          if (endsPrefillFirst) handle.endPrefill();
          for (let count = 0; count < endCalls; count++) handle.end();
        });
        for (const report of tracker.list()) {
          assert.equal(report.requests, 0);
          assert.equal(report.heldTokens, 0);
          assert.ok(report.prefillByPriority.every(tokens => tokens === 0));
        }
      }),
      property,
    );
  });

  it('forgets a backend server that is gone with its last request', () => {
    const tracker = new InFlightTracker();
    const handle = tracker.add(createRequest('b', 10));
    tracker.removeBackend('b');
    assert.equal(tracker.requestCountOn('b'), 1);
    handle.end();
    assert.deepEqual(tracker.list(), []);
  });
});
