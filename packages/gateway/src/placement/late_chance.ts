/** Share of an aimed time up to which a prediction is safe. */
const SAFE_SHARE = 0.7;
/** Share of an aimed time from which on a prediction is surely late. */
const LATE_SHARE = 1.1;

/** Chance, 0 to 1, that something predicted to take `ms` misses `goalMs`. */
export function lateChance(ms: number, goalMs: number): number {
  if (goalMs <= 0) return 0;
  const share = (ms / goalMs - SAFE_SHARE) / (LATE_SHARE - SAFE_SHARE);
  return Math.min(1, Math.max(0, share));
}
