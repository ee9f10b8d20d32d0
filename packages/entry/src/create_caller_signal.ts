import type {ServerResponse} from 'node:http';

/**
 * Creates a signal that aborts when the caller disconnects before the response
 * is written, or after `timeoutMs`.
 */
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
