const PREFIX = 'request:';

/**
 * Returns the suspect that stands for a request as such, by its digest. Ids of
 * prompt parts contain no colon.
 */
export function requestSuspect(digest: string): string {
  return PREFIX + digest;
}
