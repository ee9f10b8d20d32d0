/**
 * Time for which a failure domain counts as cut off after the last sign; then
 * a request tries it again.
 */
const TIMEOUT_TTL_MS = 1_500;
/** Unreachable backend servers that make a failure domain suspect. */
const UNREACHABLE_BACKENDS = 2;

/**
 * Notices failure domains that are cut off from this host. Each of their
 * backend servers would otherwise cost a request a connect timeout.
 */
export class DomainReachability {
  private readonly timeoutsByDomain = new Map<string, Map<string, number>>();

  /** A connection to a backend server was not accepted in time. */
  recordConnectTimeout(domain: string, backendId: string, nowMs: number): void {
    const timeouts =
      this.timeoutsByDomain.get(domain) ?? new Map<string, number>();
    timeouts.set(backendId, nowMs);
    this.timeoutsByDomain.set(domain, timeouts);
  }

  /** A backend server of the failure domain has answered. */
  recordResponse(domain: string): void {
    this.timeoutsByDomain.delete(domain);
  }

  /** Whether the failure domain seems to be cut off. */
  isUnreachable(domain: string, nowMs: number): boolean {
    const timeouts = this.timeoutsByDomain.get(domain);
    if (!timeouts) return false;
    for (const [id, atMs] of timeouts) {
      if (nowMs - atMs > TIMEOUT_TTL_MS) timeouts.delete(id);
    }
    return timeouts.size >= UNREACHABLE_BACKENDS;
  }
}
