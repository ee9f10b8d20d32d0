import {isRetryable} from '../config/is_retryable.js';
import type {RouteSpec} from '../config/route_spec.js';

/** Factor on the longest of the latest durations of a route's requests. */
const DURATION_FACTOR = 1.5;
/** Factor by which the longest duration decays with each request. */
const DURATION_DECAY = 0.98;

/**
 * Decides which requests a host still takes that is about to stop. What would be
 * cut at the end of the grace time is refused at once, as other hosts serve it.
 */
export class StopGate {
  private cutMs = Infinity;
  private readonly longestMs = new WeakMap<RouteSpec, number>();

  /** From now on, requests have to end before `cutMs` on the monotonic clock. */
  close(cutMs: number): void {
    this.cutMs = cutMs;
  }

  /** Records how long a request took. */
  recordDuration(route: RouteSpec, durationMs: number): void {
    const longestMs = this.longestMs.get(route) ?? 0;
    this.longestMs.set(route, Math.max(durationMs, longestMs * DURATION_DECAY));
  }

  /**
   * Whether a request, whose client waits for `timeoutMs`, may not end in time.
   * One that may run once has to fit with all of its time.
   */
  refuses(route: RouteSpec, timeoutMs: number, nowMs: number): boolean {
    const longestMs = this.longestMs.get(route) ?? Infinity;
    const expectedMs = isRetryable(route)
      ? Math.min(timeoutMs, DURATION_FACTOR * longestMs)
      : timeoutMs;
    return nowMs + expectedMs > this.cutMs;
  }
}
