/** Share of an aimed time up to which a prediction is safe. */
const SURELY_MET_FRACTION = 0.7;
/** Share of an aimed time from which on a prediction is surely late. */
const SURELY_MISSED_FRACTION = 1.1;

/** Chance, 0 to 1, that something predicted to take `ms` misses `goalMs`. */
export function missProbability(ms: number, goalMs: number): number {
  if (goalMs <= 0) return 0;
  const probability =
    (ms / goalMs - SURELY_MET_FRACTION) /
    (SURELY_MISSED_FRACTION - SURELY_MET_FRACTION);
  return Math.min(1, Math.max(0, probability));
}
