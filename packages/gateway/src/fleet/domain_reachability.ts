/**
 * Time for which a connect timeout counts. Afterwards requests try the failure
 * domain again.
 */
const TIMEOUT_TTL_MS = 1_500;
/** Backend servers with timeouts that make a failure domain unreachable. */
const UNREACHABLE_BACKENDS = 2;

/**
 * Detects failure domains that this host cannot reach. Otherwise each of their
 * backend servers would cost a request a connect timeout.
 */
export class DomainReachability {
  private readonly timeoutsByDomain = new Map<string, Map<string, number>>();

  /** Records that a backend server did not accept a connection in time. */
  recordConnectTimeout(domain: string, backendId: string, nowMs: number): void {
    const timeouts =
      this.timeoutsByDomain.get(domain) ?? new Map<string, number>();
    timeouts.set(backendId, nowMs);
    this.timeoutsByDomain.set(domain, timeouts);
  }

  /** Records a response from the failure domain, which clears its timeouts. */
  recordResponse(domain: string): void {
    this.timeoutsByDomain.delete(domain);
  }

  /** Whether this host seems unable to reach the failure domain. */
  isUnreachable(domain: string, nowMs: number): boolean {
    const timeouts = this.timeoutsByDomain.get(domain);
    if (!timeouts) return false;
    for (const [id, atMs] of timeouts) {
      if (nowMs - atMs > TIMEOUT_TTL_MS) timeouts.delete(id);
    }
    return timeouts.size >= UNREACHABLE_BACKENDS;
  }
}
