const MS_PER_SECOND = 1_000;
/** Longest time that is believed. */
const MAX_RETRY_AFTER_MS = 86_400_000;
const SECONDS_PATTERN = /^\d+(\.\d+)?$/;
/** A date of HTTP names its weekday first. */
const DATE_PATTERN = /^[A-Z][a-z]{2,8},? /;

/**
 * Reads a `Retry-After` header (RFC 9110, section 10.2.3): seconds, here also
 * with a fraction, or a date. Of several, the longest counts. Returns
 * milliseconds, a day at most and 0 for a date that is past, or `undefined` for
 * anything else.
 */
export function readRetryAfterMs(
  value: string | readonly string[] | undefined,
  nowAt = Date.now(),
): number | undefined {
  const delays = [value ?? []]
    .flat()
    .map(text => parseDelayMs(text.trim(), nowAt))
    .filter(delayMs => !Number.isNaN(delayMs));
  return delays.length === 0
    ? undefined
    : Math.min(Math.round(Math.max(...delays)), MAX_RETRY_AFTER_MS);
}

/** Returns a delay in milliseconds, or `NaN`. */
function parseDelayMs(text: string, nowAt: number): number {
  if (SECONDS_PATTERN.test(text)) return Number(text) * MS_PER_SECOND;
  return DATE_PATTERN.test(text)
    ? Math.max(0, Date.parse(text) - nowAt)
    : Number.NaN;
}
