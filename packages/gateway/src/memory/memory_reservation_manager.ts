import {randomUUID} from 'node:crypto';
import {getLogger, monotonicMs, sleep} from '@vanillamux/shared';
import type {ConnectionPools} from '../connection/connection_pools.js';
import type {ResponseHead} from '../connection/response_head.js';
import type {Dialect} from '../dialect/dialect.js';
import type {Backend} from '../fleet/backend.js';
import type {BackendSignals} from '../fleet/backend_signals.js';
import type {MemoryShare} from '../placement/memory_share.js';
import type {MemoryReservation} from './memory_reservation.js';

/**
 * Lease of a reservation. When the host that made it dies, the engine frees the
 * memory within this time, which is below the limit for leaked memory.
 */
const LEASE_MS = 3_500;
const RENEW_INTERVAL_MS = 1_500;
/** Delay before a renewal that was not confirmed is sent again. */
const RENEW_RETRY_DELAY_MS = 100;
const ORDER_TIMEOUT_MS = 600;
const MAX_RELEASE_ATTEMPTS = 3;
const OK_STATUS = 200;
const STATUS_MISDIRECTED = 421;

const log = getLogger('memory');

/** Options of a `MemoryReservationManager`. */
export interface MemoryReservationManagerOptions {
  readonly dialect: Dialect;
  readonly connections: ConnectionPools;
  readonly backendSignals: Pick<BackendSignals, 'learn'>;
}

/**
 * Reserves KV memory on several engines for contexts that exceed the memory of
 * one engine.
 */
export class MemoryReservationManager {
  constructor(private readonly options: MemoryReservationManagerOptions) {}

  /**
   * Reserves all of the shares or none. Returns `undefined` when an engine has
   * no capacity or does not respond.
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
    log.info('Could not reserve KV memory for a request.', {
      refused: requested
        .filter((_, index) => !granted[index])
        .map(({backend}) => backend.presence.id)
        .join(),
    });
    // An engine may have carried out an order without a response.
    this.releaseAll(requested);
    return undefined;
  }

  /** Renews the leases until `signal` aborts, then releases the memory. */
  async renew(
    reservations: readonly MemoryReservation[],
    signal: AbortSignal,
  ): Promise<void> {
    await Promise.all(
      reservations.map(reservation => this.renewOne(reservation, signal)),
    );
    this.releaseAll(reservations);
  }

  private async renewOne(
    reservation: MemoryReservation,
    signal: AbortSignal,
  ): Promise<void> {
    const {backend} = reservation;
    let isConfirmed = true;
    let leaseEndMs = monotonicMs() + LEASE_MS;
    while (!signal.aborted) {
      await sleep(
        isConfirmed ? RENEW_INTERVAL_MS : RENEW_RETRY_DELAY_MS,
        signal,
      );
      await sleep(pauseBeforeRenewalMs(backend, leaseEndMs), signal);
      if (signal.aborted) return;
      const wasConfirmed = isConfirmed;
      const sentMs = monotonicMs();
      isConfirmed = await this.sendOrder(reservation, reservation.tokens);
      if (isConfirmed) leaseEndMs = sentMs + LEASE_MS;
      if (isConfirmed || !wasConfirmed) continue;
      log.warn('An engine did not confirm renewing KV memory; sending again.', {
        backend: reservation.backend.presence.id,
        ticket: reservation.reservationId,
        holdMs: LEASE_MS,
      });
    }
  }

  private releaseAll(reservations: readonly MemoryReservation[]): void {
    for (const reservation of reservations) void this.release(reservation);
  }

  private async release(reservation: MemoryReservation): Promise<void> {
    for (let attempt = 0; attempt < MAX_RELEASE_ATTEMPTS; attempt++) {
      if (await this.sendOrder(reservation)) return;
      if (reservation.backend.pause.remainingMs(monotonicMs()) > 0) break;
    }
    log.warn(
      'An engine did not confirm releasing KV memory; its lease expires.',
      {
        backend: reservation.backend.presence.id,
        ticket: reservation.reservationId,
        holdMs: LEASE_MS,
      },
    );
  }

  /**
   * Reserves or renews `tokens`, or releases the reservation without `tokens`.
   * Returns whether the engine confirmed the order in time.
   */
  private async sendOrder(
    reservation: MemoryReservation,
    tokens?: number,
  ): Promise<boolean> {
    const {backend, reservationId} = reservation;
    const {path, headers, body} = this.options.dialect.writeReservationCommand({
      reservationId,
      tokens,
      leaseMs: LEASE_MS,
      backendId: backend.presence.id,
    });
    const exchange = this.options.connections
      .poolFor(backend)
      .send({method: 'POST', path, headers, body: Buffer.from(body)});
    const timer = setTimeout(
      () => exchange.cancel('no response to the order in time'),
      ORDER_TIMEOUT_MS,
    );
    const result = await exchange.head();
    if (result.ok) {
      this.learnSignals(reservation, result.value);
      await exchange.read();
    }
    clearTimeout(timer);
    exchange.cancel('order ended');
    return result.ok && result.value.status === OK_STATUS;
  }

  private learnSignals(
    {backend, reservationId}: MemoryReservation,
    {status, headers}: ResponseHead,
  ): void {
    if (status === STATUS_MISDIRECTED) return;
    const {dialect, backendSignals} = this.options;
    const metadata = dialect.readResponse(status, headers, reservationId);
    backendSignals.learn(backend, metadata, reservationId);
  }
}

/**
 * Time for which a renewal is put off, as the engine wants a pause: to its end,
 * or as long as the lease allows. Once the lease has ended, nothing is left to
 * keep within the pause.
 */
function pauseBeforeRenewalMs({pause}: Backend, leaseEndMs: number): number {
  const nowMs = monotonicMs();
  const pauseMs = pause.remainingMs(nowMs);
  const leftMs = leaseEndMs - ORDER_TIMEOUT_MS - nowMs;
  return leftMs > 0 ? Math.min(pauseMs, leftMs) : pauseMs;
}
