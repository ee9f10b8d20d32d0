/** Errors of a disk that may take the same write later. */
const TRANSIENT_ERROR_CODES: ReadonlySet<string> = new Set([
  'ENOSPC',
  'EDQUOT',
  'EIO',
]);

/** Whether a disk is full or faulty for now, rather than unusable. */
export function isTransientDiskError(error: unknown): boolean {
  const {code} = error as NodeJS.ErrnoException;
  return code !== undefined && TRANSIENT_ERROR_CODES.has(code);
}
