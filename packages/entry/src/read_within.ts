import {setTimeout as delay} from 'node:timers/promises';

/** Marks that nothing came within the time. */
export const SILENT: unique symbol = Symbol('silent');

/** Reads the next item of an iterator, or `SILENT` after `limitMs`. */
export async function readWithin<T>(
  iterator: AsyncIterator<T>,
  limitMs: number,
): Promise<IteratorResult<T> | typeof SILENT> {
  const timer = new AbortController();
  const silence = delay(limitMs, undefined, {signal: timer.signal}).then(
    (): typeof SILENT => SILENT,
    (): typeof SILENT => SILENT,
  );
  try {
    return await Promise.race([iterator.next(), silence]);
  } finally {
    timer.abort();
  }
}
