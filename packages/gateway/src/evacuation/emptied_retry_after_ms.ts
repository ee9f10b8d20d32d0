import {spreadRetryAfterMs} from '../request/spread_retry_after_ms.js';

/** An operator ends an evacuation at an unknown time, seconds away at least. */
const RETURN_AFTER_MS = 2_000;

/** Returns the `Retry-After` for a service whose domains are all emptied. */
export function emptiedRetryAfterMs(): number {
  return spreadRetryAfterMs(RETURN_AFTER_MS);
}
