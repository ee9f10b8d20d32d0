/** Fraction of a goal up to which a predicted time surely meets it. */
const SURELY_MET_FRACTION = 0.7;
/** Fraction of a goal from which on a predicted time surely misses it. */
const SURELY_MISSED_FRACTION = 1.1;

/** Probability, 0 to 1, that a predicted time of `ms` misses `goalMs`. */
export function missProbability(ms: number, goalMs: number): number {
  if (goalMs <= 0) return 0;
  const probability =
    (ms / goalMs - SURELY_MET_FRACTION) /
    (SURELY_MISSED_FRACTION - SURELY_MET_FRACTION);
  return Math.min(1, Math.max(0, probability));
}
