/** Shortest and longest time after which a client should return. */
const MIN_RETURN_MS = 1_000;
const MAX_RETURN_MS = 3_000;

/**
 * Time after which a client should return: after the backlog that is left, and
 * at a time of its own.
 */
export function returnTimeMs(backlogMs: number, random: () => number): number {
  const returnMs = Math.max(MIN_RETURN_MS, backlogMs) * (1 + random());
  return Math.min(Math.round(returnMs), MAX_RETURN_MS);
}
