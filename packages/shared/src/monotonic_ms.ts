/** Reads the monotonic clock in milliseconds, for durations and leases only. */
export function monotonicMs(): number {
  return performance.now();
}
