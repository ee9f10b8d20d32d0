/** Errors of a disk that may take the same write later. */
const REFUSALS: ReadonlySet<string> = new Set(['ENOSPC', 'EDQUOT', 'EIO']);

/** Whether a disk is full or faulty for now, rather than unusable. */
export function isDiskRefusal(error: unknown): boolean {
  const {code} = error as NodeJS.ErrnoException;
  return code !== undefined && REFUSALS.has(code);
}
