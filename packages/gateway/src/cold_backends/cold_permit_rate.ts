import type {PermitRate} from '../request_limits/permit_rate.js';

/**
 * Share of a bound that one owner issues in any second. Two hosts may take
 * themselves for the owner at once, and the rest is for requests that were sent
 * before the cold stretch was known, or that arrive closer than permitted.
 */
const PLANNED_SHARE = 0.4;
/** Share of an owner's permits that may be issued at once. */
const BURST_SHARE = 0.25;
const MIN_PERMITS_PER_S = 0.1;

/** Returns the rate of permits within a bound on the requests of any second. */
export function coldPermitRate(maxPerSecond: number): PermitRate {
  const planned = PLANNED_SHARE * maxPerSecond;
  const burstTokens = Math.max(1, BURST_SHARE * planned);
  return {
    tokensPerSecond: Math.max(MIN_PERMITS_PER_S, planned - burstTokens),
    burstTokens,
  };
}
