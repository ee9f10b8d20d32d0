import type {RetryLimits} from './retry_limits.js';

/**
 * Share of the limits that is spent. Hosts know each other's number only as of
 * some seconds ago.
 */
const SAFETY_FACTOR = 0.8;

interface Window {
  readonly requests: number[];
  readonly retries: number[];
}

/**
 * Limits how often requests of a service are sent once more, over a sliding
 * window. The limits hold for all entry hosts together, so each takes its part
 * of the fixed allowance.
 */
export class SharedRetryBudget {
  private readonly windows = new Map<string, Window>();
  private hostCount = 1;

  constructor(private readonly limits: RetryLimits) {}

  /** Sets the number of entry hosts that share the limits. */
  setHostCount(hostCount: number): void {
    this.hostCount = Math.max(1, hostCount);
  }

  /** Notes a request of a client. */
  countRequest(service: string, nowMs: number): void {
    this.window(service, nowMs).requests.push(nowMs);
  }

  /** Takes one repeat from the budget; returns whether there was one left. */
  acquire(service: string, nowMs: number): boolean {
    const {requests, retries: retries} = this.window(service, nowMs);
    const {ratio, allowance} = this.limits;
    const limit = ratio * requests.length + allowance / this.hostCount;
    if (retries.length + 1 > SAFETY_FACTOR * limit) return false;
    retries.push(nowMs);
    return true;
  }

  private window(service: string, nowMs: number): Window {
    let window = this.windows.get(service);
    if (!window) {
      window = {requests: [], retries: []};
      this.windows.set(service, window);
    }
    const oldestMs = nowMs - this.limits.windowMs;
    dropBefore(window.requests, oldestMs);
    dropBefore(window.retries, oldestMs);
    return window;
  }
}

function dropBefore(times: number[], oldestMs: number): void {
  const firstKept = times.findIndex(timeMs => timeMs >= oldestMs);
  if (firstKept !== 0)
    times.splice(0, firstKept < 0 ? times.length : firstKept);
}
