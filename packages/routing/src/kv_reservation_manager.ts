import {monotonicMs} from '@vanillamux/shared';

/** A request for memory on a backend server. */
export interface KvReservationRequest {
  readonly backendId: string;
  /** Request and attempt that will use the memory. */
  readonly holder: string;
  readonly tokens: number;
  readonly leaseMs: number;
}

interface KvReservation {
  readonly tokens: number;
  readonly expiresAtMs: number;
}

/** Reads the memory of a backend server, in tokens. */
export type KvCapacityReader = (backendId: string) => number;

/**
 * Memory that this host has granted on the backend servers that it owns. The
 * grants on one backend server never exceed its memory, and each ends with its
 * lease unless it is renewed.
 */
export class KvReservationManager {
  private readonly reservations = new Map<string, Map<string, KvReservation>>();

  constructor(
    private readonly readCapacity: KvCapacityReader,
    private readonly now: () => number = monotonicMs,
  ) {}

  /** Grants memory, or renews a grant. Returns whether it is granted. */
  reserve({backendId, holder, tokens, leaseMs}: KvReservationRequest): boolean {
    const reservations = this.listActive(backendId);
    const ownTokens = reservations.get(holder)?.tokens ?? 0;
    const otherTokens = sumTokens(reservations) - ownTokens;
    if (otherTokens + tokens > this.readCapacity(backendId)) return false;
    reservations.set(holder, {tokens, expiresAtMs: this.now() + leaseMs});
    this.reservations.set(backendId, reservations);
    return true;
  }

  /** Ends a grant. */
  release(backendId: string, holder: string): void {
    const reservations = this.reservations.get(backendId);
    reservations?.delete(holder);
    if (reservations?.size === 0) this.reservations.delete(backendId);
  }

  /** Tokens granted on a backend server now. */
  reservedTokens(backendId: string): number {
    return sumTokens(this.listActive(backendId));
  }

  /** Grants of a backend server without those whose lease has ended. */
  private listActive(backendId: string): Map<string, KvReservation> {
    const reservations =
      this.reservations.get(backendId) ?? new Map<string, KvReservation>();
    const nowMs = this.now();
    for (const [holder, {expiresAtMs: expiresAtMs}] of reservations) {
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
