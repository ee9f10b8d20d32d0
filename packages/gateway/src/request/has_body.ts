import type {ResponseHead} from '../connection/response_head.js';

/** Statuses of responses that have no body and no framing (RFC 9112, 6.3). */
const BODILESS_STATUSES: ReadonlySet<number> = new Set([204, 304]);

/** Whether a response to a request of this method may have a body. */
export function hasBody(
  method: string | undefined,
  {status}: Pick<ResponseHead, 'status'>,
): boolean {
  return method !== 'HEAD' && !BODILESS_STATUSES.has(status);
}
