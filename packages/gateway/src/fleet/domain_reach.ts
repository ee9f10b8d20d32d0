/**
 * Time for which a failure domain counts as cut off after the last sign; then
 * a request tries it again.
 */
const SUSPECT_MS = 1_500;
/** Unreachable backend servers that make a failure domain suspect. */
const SUSPECT_BACKENDS = 2;

/**
 * Notices failure domains that are cut off from this host. Each of their
 * backend servers would otherwise cost a request a connect timeout.
 */
export class DomainReach {
  private readonly unreachable = new Map<string, Map<string, number>>();

  /** A connection to a backend server was not accepted in time. */
  noteUnreachable(domain: string, backendId: string, nowMs: number): void {
    const seen = this.unreachable.get(domain) ?? new Map<string, number>();
    seen.set(backendId, nowMs);
    this.unreachable.set(domain, seen);
  }

  /** A backend server of the failure domain has answered. */
  noteReached(domain: string): void {
    this.unreachable.delete(domain);
  }

  /** Whether the failure domain seems to be cut off. */
  isSuspect(domain: string, nowMs: number): boolean {
    const seen = this.unreachable.get(domain);
    if (!seen) return false;
    for (const [id, atMs] of seen) {
      if (nowMs - atMs > SUSPECT_MS) seen.delete(id);
    }
    return seen.size >= SUSPECT_BACKENDS;
  }
}
