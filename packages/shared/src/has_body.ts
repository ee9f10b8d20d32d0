/** Statuses of responses that have no body and no framing (RFC 9112, 6.3). */
const BODILESS_STATUSES: ReadonlySet<number> = new Set([204, 304]);

/** Whether a response of this status to a request of this method may have a body. */
export function hasBody(method: string | undefined, status: number): boolean {
  return method !== 'HEAD' && !BODILESS_STATUSES.has(status);
}
