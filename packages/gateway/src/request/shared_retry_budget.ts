import type {RetryLimits} from './retry_limits.js';

/**
 * Share of the limit that a host uses. The known number of hosts may be some
 * seconds old.
 */
const SAFETY_FACTOR = 0.8;

interface Window {
  readonly requests: number[];
  readonly retries: number[];
}

/**
 * Limits the retries of each service over a sliding window. The limits apply to
 * all entry hosts together, so each host uses an equal share of the fixed
 * allowance.
 */
export class SharedRetryBudget {
  private readonly windows = new Map<string, Window>();

  /**
   * `hostCount` is the number of entry hosts that share the limits; with
   * `Infinity`, the host has no share of the fixed allowance yet.
   */
  constructor(
    private readonly limits: RetryLimits,
    private hostCount = 1,
  ) {}

  /** Sets the number of entry hosts that share the limits. */
  setHostCount(hostCount: number): void {
    this.hostCount = Math.max(1, hostCount);
  }

  /** Counts a request of a client. */
  countRequest(service: string, nowMs: number): void {
    this.window(service, nowMs).requests.push(nowMs);
  }

  /** Acquires one retry; returns whether the budget allowed it. */
  acquire(service: string, nowMs: number): boolean {
    const {requests, retries} = this.window(service, nowMs);
    const {ratio, allowance} = this.limits;
    const limit = ratio * requests.length + allowance / this.hostCount;
    if (retries.length + 1 > SAFETY_FACTOR * limit) return false;
    retries.push(nowMs);
    return true;
  }

  /** Returns a retry that was acquired, as its attempt was not sent. */
  refund(service: string, nowMs: number): void {
    this.window(service, nowMs).retries.pop();
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
