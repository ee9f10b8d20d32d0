import type {ServerResponse} from 'node:http';

/** Aborts when the caller hangs up or `deadlineMs` from now has passed. */
export function createCallerSignal(
  res: ServerResponse,
  timeoutMs: number,
): AbortSignal {
  const controller = new AbortController();
  const timer = setTimeout(() => controller.abort(), timeoutMs);
  res.on('close', () => {
    clearTimeout(timer);
    if (!res.writableFinished) controller.abort();
  });
  return controller.signal;
}
