import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {Deferred, fail, sleep, succeed, type Result} from '@vanillamux/shared';
import {ExchangeError} from '../src/connection/exchange_error.js';
import type {ConnectionPools} from '../src/connection/connection_pools.js';
import type {ResponseHead} from '../src/connection/response_head.js';
import type {Dialect} from '../src/dialect/dialect.js';
import {MemoryReservationManager} from '../src/memory/memory_reservation_manager.js';
import {createBackends} from './create_backend.js';

/** Time in which a reservation is renewed twice if each is confirmed. */
const OBSERVED_MS = 3_400;
/** Orders that are answered: the reservation, and those after a lost renewal. */
const LOST_ORDER = 2;

describe('MemoryReservationManager', () => {
  it('sends a renewal again before the lease expires if one is lost', async () => {
    const [backend] = createBackends(1);
    let sent = 0;
    let confirmed = 0;
    const send = () => {
      const head = new Deferred<Result<ResponseHead, ExchangeError>>();
      if (++sent !== LOST_ORDER) {
        confirmed++;
        head.resolve(succeed({status: 200, headers: {}, rawHeaders: []}));
      }
      return {
        head: () => head.promise,
        read: async () => succeed(undefined),
        cancel: (reason: string) =>
          head.resolve(fail(new ExchangeError(true, reason))),
      };
    };
    const manager = new MemoryReservationManager({
      dialect: {
        writeReservationCommand: () => ({path: '/', headers: [], body: ''}),
        readResponse: () => ({}),
      } as unknown as Dialect,
      connections: {poolFor: () => ({send})} as unknown as ConnectionPools,
      backendSignals: {learn: () => {}},
    });
    const reservations = await manager.reserve([
      {backend: backend!, tokens: 1},
    ]);
    const request = new AbortController();
    const renewal = manager.renew(reservations!, request.signal);
    await sleep(OBSERVED_MS);
    const confirmedInLease = confirmed;
    request.abort();
    await renewal;
    assert.ok(confirmedInLease >= 2, `${confirmedInLease} orders confirmed`);
  });
});
