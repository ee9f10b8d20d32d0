import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {PresenceState, type Presence} from '@vanillamux/protocol';
import {BackendPool} from '../src/fleet/backend_pool.js';
import {FailureTracker} from '../src/fleet/failure_tracker.js';
import {WorkTracker} from '../src/fleet/work_tracker.js';
import {createPresence, createWork, reported} from './create_backend.js';

describe('WorkTracker', () => {
  it('adds up the queued prefill time and subtracts elapsed time', () => {
    const tracker = new WorkTracker();
    tracker.add('a', createWork({prefillMs: 100}), 0);
    tracker.add('b', createWork({prefillMs: 50}), 0);
    assert.deepEqual(
      [0, 60, 200].map(nowMs => tracker.backlogMs(nowMs)),
      [150, 90, 0],
    );
  });

  const EARLY_ENDS: Array<[string, (tracker: WorkTracker) => void]> = [
    ['finishes its prefill', tracker => tracker.markPrefilled('a', 20)],
    ['ends', tracker => tracker.remove('a', 20)],
  ];
  for (const [name, act] of EARLY_ENDS) {
    it(`shortens the backlog when work ${name} early`, () => {
      const tracker = new WorkTracker();
      tracker.add('a', createWork({prefillMs: 100}), 0);
      tracker.add('b', createWork({prefillMs: 50}), 0);
      act(tracker);
      assert.equal(tracker.backlogMs(20), 50);
    });
  }

  it('drops peer work after its expected end', () => {
    const tracker = new WorkTracker();
    tracker.addPeerWork('a', createWork({prefillMs: 100, decodeMs: 1_000}), 0);
    tracker.add('b', createWork({prefillMs: 1}), 0);
    assert.equal(tracker.entries(1_000).length, 2);
    assert.equal(tracker.entries(5_000).length, 1);
  });
});

describe('FailureTracker', () => {
  it('ejects for longer each time until a success', () => {
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

  it('decays the failure rate over time', () => {
    const tracker = new FailureTracker();
    for (let at = 0; at < 20; at++) tracker.recordFailure(0);
    assert.ok(tracker.failureRate(0) > 0.9);
    assert.ok(tracker.failureRate(20_000) < 0.1);
  });
});

describe('a report that a control host of an older version passes on', () => {
  const ODD: Array<[string, object]> = [
    ['an infinite sequence, which JSON turns into null', {sequence: null}],
    ['an infinite incarnation', {incarnation: null}],
    ['port 0', {address: {host: '127.0.0.1', port: 0}}],
    ['a capacity of 1e308', {capacity: 1e308}],
  ];
  for (const [name, fields] of ODD) {
    it(`with ${name} is ignored, and the others hold`, () => {
      const pool = new BackendPool();
      const odd = {...createPresence({id: 'odd'}), ...fields} as Presence;
      pool.apply(
        reported(createPresence({id: 'b0'}), odd, createPresence({id: 'b1'})),
      );
      const ids = pool.candidates('notes').map(({presence}) => presence.id);
      assert.deepEqual(ids, ['b0', 'b1']);
      pool.apply(reported(createPresence({id: 'odd', sequence: 2})));
      assert.equal(pool.candidates('notes').length, 3);
    });
  }
});

describe('BackendPool', () => {
  const {Ready, Draining, Silent, Gone} = PresenceState;
  const CASES: Array<{
    readonly name: string;
    readonly states: ReadonlyArray<Presence['state']>;
    readonly expected: readonly string[];
  }> = [
    {
      name: 'ready backend servers',
      states: [Ready, Ready],
      expected: ['b0', 'b1'],
    },
    {
      name: 'no draining backend server',
      states: [Ready, Draining],
      expected: ['b0'],
    },
    {name: 'no ended backend server', states: [Ready, Gone], expected: ['b0']},
    {
      name: 'no silent backend server',
      states: [Ready, Silent],
      expected: ['b0'],
    },
    {
      name: 'silent backend servers when there is no other',
      states: [Draining, Silent],
      expected: ['b1'],
    },
  ];
  for (const {name, states, expected} of CASES) {
    it(`returns ${name}`, () => {
      const pool = new BackendPool();
      pool.apply(
        reported(
          ...states.map((state, at) => createPresence({id: `b${at}`, state})),
        ),
      );
      assert.deepEqual(
        pool.candidates('notes').map(({presence}) => presence.id),
        expected,
      );
    });
  }

  it('starts a new incarnation without the load of the previous one', () => {
    const pool = new BackendPool();
    pool.apply(reported(createPresence({id: 'b', incarnation: 1})));
    pool.get('b')!.inFlight = 3;
    pool.apply(reported(createPresence({id: 'b', incarnation: 2})));
    assert.equal(pool.get('b')!.inFlight, 0);
  });
});
