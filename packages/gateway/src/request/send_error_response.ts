import type {ServerResponse} from 'node:http';

const MS_PER_SECOND = 1_000;

/** An answer that the gateway makes itself. */
export interface ErrorResponse {
  readonly status: number;
  readonly reason: string;
  /** Time after which the client may come back. */
  readonly retryAfterMs?: number;
  readonly headers?: Readonly<Record<string, string>>;
}

/** Answers a request that no backend server has answered. */
export function sendErrorResponse(
  res: ServerResponse,
  response: ErrorResponse,
): void {
  if (res.headersSent || res.destroyed) return;
  const body = `${JSON.stringify({error: response.reason})}\n`;
  res.writeHead(response.status, {
    ...response.headers,
    ...(response.retryAfterMs === undefined
      ? {}
      : {'Retry-After': String(response.retryAfterMs / MS_PER_SECOND)}),
    'Content-Type': 'application/json',
    'Content-Length': Buffer.byteLength(body),
  });
  res.end(body);
}
