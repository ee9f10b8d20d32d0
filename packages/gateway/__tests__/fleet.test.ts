import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {PresenceState, type Presence} from '@vanillamux/protocol';
import {BackendPool} from '../src/fleet/backend_pool.js';
import {FailureTracker} from '../src/fleet/failure_tracker.js';
import {WorkTracker} from '../src/fleet/work_tracker.js';
import {createPresence, createWork} from './create_backend.js';

describe('WorkLedger', () => {
  it('adds up the prompts ahead and lets time pass', () => {
    const tracker = new WorkTracker();
    tracker.add('a', createWork({prefillMs: 100}), 0);
    tracker.add('b', createWork({prefillMs: 50}), 0);
    assert.deepEqual(
      [0, 60, 200].map(nowMs => tracker.backlogMs(nowMs)),
      [150, 90, 0],
    );
  });

  const EARLY_ENDS: Array<[string, (tracker: WorkTracker) => void]> = [
    ['begins', tracker => tracker.markPrefilled('a', 20)],
    ['ends', tracker => tracker.remove('a', 20)],
  ];
  for (const [name, act] of EARLY_ENDS) {
    it(`gives back the time of work that ${name} early`, () => {
      const tracker = new WorkTracker();
      tracker.add('a', createWork({prefillMs: 100}), 0);
      tracker.add('b', createWork({prefillMs: 50}), 0);
      act(tracker);
      assert.equal(tracker.backlogMs(20), 50);
    });
  }

  it('forgets work of other hosts at its expected end', () => {
    const tracker = new WorkTracker();
    tracker.addPeerWork('a', createWork({prefillMs: 100, decodeMs: 1_000}), 0);
    tracker.add('b', createWork({prefillMs: 1}), 0);
    assert.equal(tracker.entries(1_000).length, 2);
    assert.equal(tracker.entries(5_000).length, 1);
  });
});

describe('FailureTracker', () => {
  it('pauses for longer with each break and ends with a success', () => {
    const tracker = new FailureTracker();
    tracker.eject(0);
    assert.deepEqual(
      [tracker.isEjected(200), tracker.isEjected(300)],
      [true, false],
    );
    tracker.eject(1_000);
    assert.equal(tracker.isEjected(1_400), true);
    tracker.recordSuccess(1_400);
    assert.equal(tracker.isEjected(1_400), false);
  });

  it('keeps a rate of failures that fades', () => {
    const tracker = new FailureTracker();
    for (let at = 0; at < 20; at++) tracker.recordFailure(0);
    assert.ok(tracker.failureRate(0) > 0.9);
    assert.ok(tracker.failureRate(20_000) < 0.1);
  });
});

describe('BackendPool', () => {
  const {Ready, Draining, Silent, Gone} = PresenceState;
  const CASES: Array<{
    readonly name: string;
    readonly states: ReadonlyArray<Presence['state']>;
    readonly expected: readonly string[];
  }> = [
    {name: 'ready ones', states: [Ready, Ready], expected: ['b0', 'b1']},
    {name: 'no draining ones', states: [Ready, Draining], expected: ['b0']},
    {name: 'no ended ones', states: [Ready, Gone], expected: ['b0']},
    {name: 'no silent ones', states: [Ready, Silent], expected: ['b0']},
    {
      name: 'silent ones when there is no other',
      states: [Draining, Silent],
      expected: ['b1'],
    },
  ];
  for (const {name, states, expected} of CASES) {
    it(`offers ${name}`, () => {
      const pool = new BackendPool();
      pool.apply(
        states.map((state, at) => createPresence({id: `b${at}`, state})),
      );
      assert.deepEqual(
        pool.candidates('notes').map(({presence}) => presence.id),
        expected,
      );
    });
  }

  it('starts a new life without the load of the former one', () => {
    const pool = new BackendPool();
    pool.apply([createPresence({id: 'b', incarnation: 1})]);
    pool.get('b')!.inFlight = 3;
    pool.apply([createPresence({id: 'b', incarnation: 2})]);
    assert.equal(pool.get('b')!.inFlight, 0);
  });
});
