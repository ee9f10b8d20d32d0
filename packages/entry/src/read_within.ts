/** Marks that nothing came within the time. */
export const SILENT: unique symbol = Symbol('silent');

/** Reads the next item of an iterator, or `SILENT` after `limitMs`. */
export async function readWithin<T>(
  iterator: AsyncIterator<T>,
  limitMs: number,
): Promise<IteratorResult<T> | typeof SILENT> {
  let timer: NodeJS.Timeout | undefined;
  const silence = new Promise<typeof SILENT>(resolve => {
    timer = setTimeout(() => resolve(SILENT), limitMs);
  });
  try {
    return await Promise.race([iterator.next(), silence]);
  } finally {
    clearTimeout(timer);
  }
}
