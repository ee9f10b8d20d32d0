import type {ColdSlowdown} from './cold_slowdown.js';

/**
 * Time that work of `ms` takes on a backend server that is slow for a while: what
 * is left of the work when that ends goes on at the usual pace.
 */
export function stretchByCold(
  ms: number,
  {factor, leftMs}: ColdSlowdown,
): number {
  const slowMs = Math.min(ms * factor, leftMs);
  return ms + slowMs * (1 - 1 / factor);
}
