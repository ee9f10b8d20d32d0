import type {ServerResponse} from 'node:http';
import type {VmuxError} from '@vanillamux/shared';

const MS_PER_SECOND = 1_000;

/**
 * Responds with an error as JSON. Closes the connection if a response has
 * already begun, so that it does not seem complete.
 */
export function sendError(
  res: ServerResponse,
  error: VmuxError,
  requestId?: string,
): void {
  if (res.headersSent || res.destroyed) {
    if (!res.writableEnded) res.destroy();
    return;
  }
  const headers: Record<string, string> = {'content-type': 'application/json'};
  if (requestId) headers['x-request-id'] = requestId;
  if (error.retryAfterMs !== undefined) {
    headers['retry-after'] = String(
      Math.ceil(error.retryAfterMs / MS_PER_SECOND),
    );
  }
  // On a kept connection, the unread rest of the request body would be parsed
  // as the next request.
  if (!res.req.complete) headers['connection'] = 'close';
  res.writeHead(error.status, headers);
  res.end(JSON.stringify({error: {...error.toBody(), requestId}}));
}
