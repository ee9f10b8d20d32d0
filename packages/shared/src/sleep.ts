/**
 * Waits `ms` milliseconds, or until `signal` aborts; never rejects. Uses a
 * plain timer, because each abort of a promise timer creates an error with a
 * stack trace.
 */
export function sleep(ms: number, signal?: AbortSignal): Promise<void> {
  if (signal?.aborted) return Promise.resolve();
  return new Promise(resolve => {
    const finish = (): void => {
      clearTimeout(timer);
      signal?.removeEventListener('abort', finish);
      resolve();
    };
    const timer = setTimeout(finish, Math.max(0, ms));
    signal?.addEventListener('abort', finish, {once: true});
  });
}
