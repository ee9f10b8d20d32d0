import {setTimeout as delay} from 'node:timers/promises';

/** Waits `ms` milliseconds, or until `signal` aborts; never rejects. */
export async function sleep(ms: number, signal?: AbortSignal): Promise<void> {
  if (signal?.aborted) return;
  try {
    await delay(ms, undefined, {signal});
  } catch (error) {
    if (!signal?.aborted) throw error;
  }
}
