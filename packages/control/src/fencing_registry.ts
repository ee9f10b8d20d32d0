import type {FenceResult} from './command_results.js';
import type {FenceCommand} from './commands.js';

/** The present holder of the orders to one backend server. */
export interface FenceGrant {
  readonly backend: string;
  readonly holder: string;
  readonly number: number;
  readonly leaseEndsAtMs: number;
}

/** Issues increasing fencing numbers, one holder per backend server. */
export class FencingRegistry {
  private readonly grants = new Map<string, FenceGrant>();

  /**
   * Grants the orders of a backend server to a holder for a lease. Another
   * holder gets them only after the lease has ended, which also protects
   * backend servers that do not check the number.
   */
  grant(command: FenceCommand): FenceResult {
    const {backend, holder, leaseMs, atMs} = command;
    const current = this.grants.get(backend);
    const isHeld = current && current.leaseEndsAtMs > atMs;
    if (isHeld && current.holder !== holder) {
      const waitMs = current.leaseEndsAtMs - atMs;
      return {granted: false, number: current.number, waitMs};
    }
    const number = isHeld ? current.number : (current?.number ?? 0) + 1;
    this.grants.set(backend, {
      backend,
      holder,
      number,
      leaseEndsAtMs: atMs + leaseMs,
    });
    return {granted: true, number, waitMs: 0};
  }

  /** Returns every grant. */
  list(): FenceGrant[] {
    return [...this.grants.values()];
  }

  /** Replaces the content, from a snapshot. */
  load(grants: readonly FenceGrant[]): void {
    this.grants.clear();
    for (const grant of grants) this.grants.set(grant.backend, grant);
  }
}
