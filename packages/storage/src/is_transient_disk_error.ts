/** Codes of disk errors after which the same write may succeed later. */
const TRANSIENT_ERROR_CODES: ReadonlySet<string> = new Set([
  'ENOSPC',
  'EDQUOT',
  'EIO',
]);

/** Whether an error says that a disk is full or failing, but not unusable. */
export function isTransientDiskError(error: unknown): boolean {
  const {code} = error as NodeJS.ErrnoException;
  return code !== undefined && TRANSIENT_ERROR_CODES.has(code);
}
