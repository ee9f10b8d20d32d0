import {randomUUID} from 'node:crypto';
import {getLogger, sleep} from '@vanillamux/shared';
import type {ConnectionPools} from '../connection/connection_pools.js';
import type {Dialect} from '../dialect/dialect.js';
import type {MemoryShare} from '../placement/memory_share.js';
import type {MemoryReservation} from './memory_reservation.js';

/**
 * Lease of reserved memory. An engine frees it by itself within this time when
 * the host that asked for it dies, which is below the bound for leaked memory.
 */
const LEASE_MS = 3_500;
const RENEW_INTERVAL_MS = 1_500;
const ORDER_TIMEOUT_MS = 600;
const MAX_RELEASE_ATTEMPTS = 3;
const OK_STATUS = 200;

const log = getLogger('memory');

/** Keeps memory on several engines for requests that no engine can hold. */
export class MemoryReservationManager {
  constructor(
    private readonly dialect: Dialect,
    private readonly connections: ConnectionPools,
  ) {}

  /**
   * Reserves all of the shares or none. `undefined` when an engine has no room
   * or does not answer.
   */
  async reserve(
    shares: readonly MemoryShare[],
  ): Promise<MemoryReservation[] | undefined> {
    const requested = shares.map(({backend, tokens}) => ({
      backend,
      tokens,
      reservationId: randomUUID(),
    }));
    const granted = await Promise.all(
      requested.map(reservation =>
        this.sendOrder(reservation, reservation.tokens),
      ),
    );
    if (granted.every(isGranted => isGranted)) return requested;
    log.info('Engines have no memory for a request.', {
      refused: requested
        .filter((_, index) => !granted[index])
        .map(({backend}) => backend.presence.id)
        .join(),
    });
    // An order without an answer may have been carried out.
    this.releaseAll(requested);
    return undefined;
  }

  /** Renews the leases until `signal` aborts, then gives the memory back. */
  async renew(
    reservations: readonly MemoryReservation[],
    signal: AbortSignal,
  ): Promise<void> {
    while (!signal.aborted) {
      await sleep(RENEW_INTERVAL_MS, signal);
      if (signal.aborted) break;
      await Promise.all(
        reservations.map(reservation =>
          this.sendOrder(reservation, reservation.tokens),
        ),
      );
    }
    this.releaseAll(reservations);
  }

  private releaseAll(reservations: readonly MemoryReservation[]): void {
    for (const reservation of reservations) void this.release(reservation);
  }

  private async release(reservation: MemoryReservation): Promise<void> {
    for (let attempt = 0; attempt < MAX_RELEASE_ATTEMPTS; attempt++) {
      if (await this.sendOrder(reservation)) return;
    }
    log.warn(
      'An engine did not confirm that it freed memory; its lease ends.',
      {
        backend: reservation.backend.presence.id,
        ticket: reservation.reservationId,
        holdMs: LEASE_MS,
      },
    );
  }

  /** Sends one order; returns whether the engine carried it out at once. */
  private async sendOrder(
    reservation: MemoryReservation,
    tokens?: number,
  ): Promise<boolean> {
    const {backend, reservationId: reservationId} = reservation;
    const {path, headers, body} = this.dialect.writeReservationCommand({
      reservationId: reservationId,
      tokens,
      leaseMs: LEASE_MS,
      backendId: backend.presence.id,
    });
    const exchange = this.connections
      .poolFor(backend)
      .send({method: 'POST', path, headers, body: Buffer.from(body)});
    const timer = setTimeout(
      () => exchange.cancel('the order was not answered in time'),
      ORDER_TIMEOUT_MS,
    );
    const result = await exchange.head();
    if (result.ok) await exchange.read();
    clearTimeout(timer);
    exchange.cancel('order ended');
    return result.ok && result.value.status === OK_STATUS;
  }
}
