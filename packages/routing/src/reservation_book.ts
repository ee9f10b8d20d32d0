import {monotonicMs} from '@vanillamux/shared';

/** A request for memory on a backend server. */
export interface MemoryRequest {
  readonly backendId: string;
  /** Request and attempt that will use the memory. */
  readonly holder: string;
  readonly tokens: number;
  readonly leaseMs: number;
}

interface Grant {
  readonly tokens: number;
  readonly endsMs: number;
}

/** Reads the memory of a backend server, in tokens. */
export type MemoryReader = (backendId: string) => number;

/**
 * Memory that this host has granted on the backend servers that it owns. The
 * grants on one backend server never exceed its memory, and each ends with its
 * lease unless it is renewed.
 */
export class ReservationBook {
  private readonly grants = new Map<string, Map<string, Grant>>();

  constructor(
    private readonly readMemory: MemoryReader,
    private readonly now: () => number = monotonicMs,
  ) {}

  /** Grants memory, or renews a grant. Returns whether it is granted. */
  reserve({backendId, holder, tokens, leaseMs}: MemoryRequest): boolean {
    const grants = this.current(backendId);
    const before = grants.get(holder)?.tokens ?? 0;
    const others = sumTokens(grants) - before;
    if (others + tokens > this.readMemory(backendId)) return false;
    grants.set(holder, {tokens, endsMs: this.now() + leaseMs});
    this.grants.set(backendId, grants);
    return true;
  }

  /** Ends a grant. */
  release(backendId: string, holder: string): void {
    const grants = this.grants.get(backendId);
    grants?.delete(holder);
    if (grants?.size === 0) this.grants.delete(backendId);
  }

  /** Tokens granted on a backend server now. */
  granted(backendId: string): number {
    return sumTokens(this.current(backendId));
  }

  /** Grants of a backend server without those whose lease has ended. */
  private current(backendId: string): Map<string, Grant> {
    const grants = this.grants.get(backendId) ?? new Map<string, Grant>();
    const nowMs = this.now();
    for (const [holder, {endsMs}] of grants) {
      if (endsMs <= nowMs) grants.delete(holder);
    }
    return grants;
  }
}

function sumTokens(grants: ReadonlyMap<string, Grant>): number {
  let sum = 0;
  for (const {tokens} of grants.values()) sum += tokens;
  return sum;
}
