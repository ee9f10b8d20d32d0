/** Milliseconds on the monotonic clock, for durations and leases only. */
export function monotonicMs(): number {
  return performance.now();
}
