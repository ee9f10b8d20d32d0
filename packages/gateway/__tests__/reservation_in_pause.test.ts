import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {monotonicMs, sleep, succeed} from '@vanillamux/shared';
import type {ConnectionPools} from '../src/connection/connection_pools.js';
import type {Dialect} from '../src/dialect/dialect.js';
import type {Backend} from '../src/fleet/backend.js';
import {MemoryReservationManager} from '../src/memory/memory_reservation_manager.js';
import {createBackends} from './create_backend.js';

const PAUSE_MS = 3_000;
/** The users' bound on what reaches a server in its pause, and when it begins. */
const MAX_IN_PAUSE = 2;
const TAKE_NOTE_MS = 500;
/** Lease of the reservations. */
const LEASE_MS = 3_500;
const STATUS_OK = 200;
const STATUS_UNAVAILABLE = 503;

/** An engine that wants a pause from the `pausedAt`th order on. */
class PausingEngine {
  readonly backend: Backend = createBackends(1)[0]!;
  readonly orders: Array<{readonly atMs: number; readonly isRenewal: boolean}> =
    [];
  pausedMs?: number;
  readonly manager: MemoryReservationManager;

  constructor(
    private readonly pausedAt: number,
    private readonly confirmsInPause: boolean,
  ) {
    this.manager = new MemoryReservationManager({
      dialect: {
        writeReservationCommand: ({tokens}: {tokens?: number}) => ({
          path: '/',
          headers: [],
          body: String(tokens ?? ''),
        }),
        readResponse: (status: number) => ({
          pauseMs: status === STATUS_UNAVAILABLE ? PAUSE_MS : undefined,
        }),
      } as unknown as Dialect,
      connections: {
        poolFor: () => ({
          send: ({body}: {body: Buffer}) => this.answer(body.length > 0),
        }),
      } as unknown as ConnectionPools,
      backendSignals: {
        learn: (backend, {pauseMs = 0}) =>
          backend.pause.extend(pauseMs, monotonicMs()),
      },
    });
  }

  /** Orders that arrived within the pause, after the time to take note of it. */
  get ordersInPause(): number {
    const fromMs = this.pausedMs! + TAKE_NOTE_MS;
    const endMs = this.pausedMs! + PAUSE_MS;
    return this.orders.filter(({atMs}) => atMs >= fromMs && atMs < endMs)
      .length;
  }

  private answer(isRenewal: boolean): object {
    const atMs = monotonicMs();
    this.orders.push({atMs, isRenewal});
    const isFirst = this.orders.length === this.pausedAt;
    if (isFirst) this.pausedMs = atMs;
    const isPaused =
      this.pausedMs !== undefined && atMs < this.pausedMs + PAUSE_MS;
    const isRefused = isFirst || (isPaused && !this.confirmsInPause);
    const status = isRefused ? STATUS_UNAVAILABLE : STATUS_OK;
    return {
      head: async () => succeed({status, headers: {}, rawHeaders: []}),
      read: async () => succeed(undefined),
      cancel: () => undefined,
    };
  }
}

const CASES = [
  {name: 'that refuses renewals', confirmsInPause: false},
  {name: 'that confirms renewals', confirmsInPause: true},
];

describe('an engine that wants a pause', () => {
  for (const {name, confirmsInPause} of CASES) {
    it(`${name} is not asked again and again`, async () => {
      const engine = new PausingEngine(2, confirmsInPause);
      const reservations = await engine.manager.reserve([
        {backend: engine.backend, tokens: 1},
      ]);
      const request = new AbortController();
      const renewal = engine.manager.renew(reservations!, request.signal);
      await sleep(LEASE_MS + PAUSE_MS);
      request.abort();
      await renewal;
      assert.ok(
        engine.ordersInPause <= MAX_IN_PAUSE,
        `${engine.ordersInPause} orders in the pause`,
      );
    });
  }

  it('keeps the memory of a request that it confirms', async () => {
    const engine = new PausingEngine(2, true);
    const reservations = await engine.manager.reserve([
      {backend: engine.backend, tokens: 1},
    ]);
    const request = new AbortController();
    const renewal = engine.manager.renew(reservations!, request.signal);
    await sleep(LEASE_MS + PAUSE_MS);
    request.abort();
    await renewal;
    const [reserved, , ...confirmed] = engine.orders
      .filter(({isRenewal}) => isRenewal)
      .map(({atMs}) => atMs);
    let lastMs = reserved!;
    for (const atMs of confirmed) {
      assert.ok(atMs - lastMs < LEASE_MS, `${atMs - lastMs} ms`);
      lastMs = atMs;
    }
  });

  it('is told once that memory is free', async () => {
    const engine = new PausingEngine(2, false);
    const reservations = await engine.manager.reserve([
      {backend: engine.backend, tokens: 1},
    ]);
    const request = new AbortController();
    request.abort();
    await engine.manager.renew(reservations!, request.signal);
    await sleep(TAKE_NOTE_MS);
    assert.equal(engine.orders.length, 2);
  });
});
