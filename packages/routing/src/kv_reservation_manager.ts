import {monotonicMs} from '@vanillamux/shared';

/** A request to reserve KV memory on a backend server. */
export interface KvReservationRequest {
  readonly backendId: string;
  /** Request and attempt that use the memory. */
  readonly holder: string;
  readonly tokens: number;
  readonly leaseMs: number;
}

interface KvReservation {
  readonly tokens: number;
  readonly expiresAtMs: number;
}

/** Returns the total KV memory of a backend server, in tokens. */
export type KvCapacityReader = (backendId: string) => number;

/**
 * Manages the KV memory reservations on the backend servers that this host
 * owns. The reservations on one backend server never exceed its memory, and
 * each expires with its lease unless it is renewed.
 */
export class KvReservationManager {
  private readonly reservations = new Map<string, Map<string, KvReservation>>();

  constructor(
    private readonly readCapacity: KvCapacityReader,
    private readonly now: () => number = monotonicMs,
  ) {}

  /** Reserves memory or renews a reservation. Returns whether it fits. */
  reserve({backendId, holder, tokens, leaseMs}: KvReservationRequest): boolean {
    const reservations = this.listActive(backendId);
    const ownTokens = reservations.get(holder)?.tokens ?? 0;
    const otherTokens = sumTokens(reservations) - ownTokens;
    if (otherTokens + tokens > this.readCapacity(backendId)) return false;
    reservations.set(holder, {tokens, expiresAtMs: this.now() + leaseMs});
    this.reservations.set(backendId, reservations);
    return true;
  }

  release(backendId: string, holder: string): void {
    const reservations = this.reservations.get(backendId);
    reservations?.delete(holder);
    if (reservations?.size === 0) this.reservations.delete(backendId);
  }

  /** Returns the tokens under reservations that have not expired. */
  reservedTokens(backendId: string): number {
    return sumTokens(this.listActive(backendId));
  }

  /** Deletes expired reservations and returns the others. */
  private listActive(backendId: string): Map<string, KvReservation> {
    const reservations =
      this.reservations.get(backendId) ?? new Map<string, KvReservation>();
    const nowMs = this.now();
    for (const [holder, {expiresAtMs}] of reservations) {
      if (expiresAtMs <= nowMs) reservations.delete(holder);
    }
    return reservations;
  }
}

function sumTokens(reservations: ReadonlyMap<string, KvReservation>): number {
  let sum = 0;
  for (const {tokens} of reservations.values()) sum += tokens;
  return sum;
}
