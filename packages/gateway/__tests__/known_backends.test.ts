import assert from 'node:assert/strict';
import {afterEach, describe, it} from 'node:test';
import {setImmediate} from 'node:timers/promises';
import type {Census} from '@vanillamux/control';
import {BackendPool} from '../src/fleet/backend_pool.js';
import {KnownBackends} from '../src/known_backends/known_backends.js';
import {createPresence, reported} from './create_backend.js';

const SERVICE = 'notes';
const LONG_MS = 60_000;

/** Clients of the requests that may still wait. */
const clients: AbortController[] = [];

/** What control hosts that have just started say of `notes`. */
function censusOf(count: number, openForMs = LONG_MS): Census {
  return {expected: {[SERVICE]: count}, openForMs};
}

/** A host that knows `count` backend servers, and the waits of its requests. */
function createHost(count: number): {
  readonly known: KnownBackends;
  learn(total: number): void;
  advance(ms: number): void;
  startWait(client?: AbortController): Promise<() => Promise<boolean>>;
} {
  let nowMs = 0;
  let learned = 0;
  const backends = new BackendPool();
  const known = new KnownBackends({
    isEnabled: true,
    backends,
    now: () => nowMs,
  });
  const learn = (total: number): void => {
    for (; learned < total; learned++)
      backends.apply(reported(createPresence({id: `b${learned}`})));
  };
  learn(count);
  return {
    known,
    learn,
    advance: ms => (nowMs += ms),
    startWait: async (client = new AbortController()) => {
      let hasEnded = false;
      const {signal} = client;
      clients.push(client);
      void known
        .wait(SERVICE, {timeoutMs: LONG_MS, signal})
        .then(() => (hasEnded = true));
      await setImmediate();
      return async () => {
        await setImmediate();
        return hasEnded;
      };
    },
  };
}

describe('KnownBackends', () => {
  // A wait that goes on would keep the process running.
  afterEach(() => {
    for (const client of clients.splice(0)) client.abort();
  });

  const CASES = [
    {name: 'no control host has answered', census: [], isHeld: false},
    {name: 'few are known of many', census: [censusOf(8)], isHeld: true},
    {name: 'three quarters are known', census: [censusOf(4)], isHeld: false},
    {
      name: 'another control host remembers more',
      census: [censusOf(4), censusOf(8)],
      isHeld: true,
    },
    {
      name: 'nothing is remembered',
      census: [{expected: {}, openForMs: LONG_MS}],
      isHeld: false,
    },
    {
      name: 'another service alone is remembered',
      census: [{expected: {forms: 8}, openForMs: LONG_MS}],
      isHeld: false,
    },
    {
      name: 'a control host has not just started, or is of an earlier build',
      census: [censusOf(8), undefined, censusOf(8)],
      isHeld: false,
    },
    {
      name: 'all servers had the time to report',
      census: [censusOf(8, 0)],
      isHeld: false,
    },
    {
      name: 'the control host that started first had it',
      census: [censusOf(8, 0), censusOf(8)],
      isHeld: false,
    },
  ];
  for (const {name, census, isHeld} of CASES) {
    it(`${isHeld ? 'holds' : 'lets through'} a request when ${name}`, async () => {
      const {known, startWait} = createHost(3);
      for (const answer of census) known.update(answer);
      const hasEnded = await startWait();
      assert.equal(await hasEnded(), !isHeld);
    });
  }

  it('lets a request through as soon as enough servers are known', async () => {
    const {known, learn, startWait} = createHost(2);
    known.update(censusOf(8));
    const hasEnded = await startWait();
    learn(5);
    known.update(censusOf(8));
    assert.equal(await hasEnded(), false);
    learn(6);
    known.update(censusOf(8));
    assert.equal(await hasEnded(), true);
  });

  it('lets a request through when a control host has not just started', async () => {
    const {known, startWait} = createHost(2);
    known.update(censusOf(8));
    const hasEnded = await startWait();
    known.update(undefined);
    assert.equal(await hasEnded(), true);
  });

  it('holds no request longer than its limit', async () => {
    const {known, advance, startWait} = createHost(2);
    known.update(censusOf(8));
    const hasEnded = await startWait();
    advance(1_500);
    known.update(censusOf(8));
    assert.equal(await hasEnded(), true);
  });

  it('ends the wait of a request whose client has left', async () => {
    const {known, startWait} = createHost(2);
    known.update(censusOf(8));
    const client = new AbortController();
    const hasEnded = await startWait(client);
    client.abort();
    assert.equal(await hasEnded(), true);
  });

  it('counts the servers that may get requests', () => {
    const {known} = createHost(3);
    assert.deepEqual(known.counts, {[SERVICE]: 3});
  });
});
