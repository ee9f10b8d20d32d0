import type {ServerResponse} from 'node:http';
import type {VmuxError} from '@vanillamux/shared';

const MS_PER_SECOND = 1_000;

/** Answers with the JSON form of an error. */
export function sendError(
  res: ServerResponse,
  error: VmuxError,
  requestId?: string,
): void {
  if (res.headersSent || res.destroyed) {
    res.end();
    return;
  }
  const headers: Record<string, string> = {'content-type': 'application/json'};
  if (requestId) headers['x-request-id'] = requestId;
  if (error.retryAfterMs !== undefined) {
    headers['retry-after'] = String(
      Math.ceil(error.retryAfterMs / MS_PER_SECOND),
    );
  }
  // The rest of a body that was not read would be taken for a request.
  if (!res.req.complete) headers['connection'] = 'close';
  res.writeHead(error.status, headers);
  res.end(JSON.stringify({error: {...error.toBody(), requestId}}));
}
