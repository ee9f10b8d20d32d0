/** Part of a wait over which clients return, and its bound in milliseconds. */
const SPREAD_SHARE = 0.25;
const MAX_SPREAD_MS = 500;

/**
 * Returns a `Retry-After` in milliseconds for clients that wait for the same
 * moment, `waitMs` from now, so that they do not return all at once.
 */
export function spreadRetryAfterMs(
  waitMs: number,
  random: () => number = Math.random,
): number {
  const spreadMs = Math.min(SPREAD_SHARE * waitMs, MAX_SPREAD_MS);
  return Math.ceil(waitMs + random() * spreadMs);
}
