import type {PermitRate} from '../request_limits/permit_rate.js';

/**
 * Share of a bound that a deputy issues in any second: beside two owners and their
 * planned shares, two deputies fit in.
 */
const DEPUTY_SHARE = 0.1;
/** With a burst of one, any second has fewer than this beyond the whole permits. */
const RATE_MARGIN_PER_S = 0.1;

/**
 * Returns the rate of permits of a deputy within a bound on the requests of any
 * second; none if the bound leaves no whole permit.
 */
export function coldDeputyRate(maxPerSecond: number): PermitRate | undefined {
  const planned = Math.floor(DEPUTY_SHARE * maxPerSecond);
  if (planned < 1) return undefined;
  return {tokensPerSecond: planned - RATE_MARGIN_PER_S, burstTokens: 1};
}
