/**
 * Waits `ms` milliseconds, or until `signal` aborts; never rejects. Written
 * on a plain timer, because an aborted promise timer makes an error with a
 * stack trace each time.
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
