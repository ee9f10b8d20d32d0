import type {IncomingMessage, ServerResponse} from 'node:http';
import {
  ClientServer,
  ErrorCodes,
  getLogger,
  VmuxError,
} from '@vanillamux/shared';
import type {EntryHost} from './entry_host.js';
import {sendError} from './send_error.js';

const HEADERS_TIMEOUT_MS = 10_000;
const REQUEST_TIMEOUT_MS = 60_000;
const MAX_HEADER_BYTES = 16 * 1_024;

const log = getLogger('http');

/** Creates the public HTTP server, which callers send requests to. */
export function createCallerServer(host: EntryHost): ClientServer {
  return new ClientServer(
    {
      headersTimeout: HEADERS_TIMEOUT_MS,
      requestTimeout: REQUEST_TIMEOUT_MS,
      maxHeaderSize: MAX_HEADER_BYTES,
    },
    (req, res) => {
      handleRequest(req, res, host).catch((error: unknown) => {
        log.error('Unhandled error while serving a request.', {error});
        sendError(res, new VmuxError(ErrorCodes.Internal));
      });
    },
  );
}

async function handleRequest(
  req: IncomingMessage,
  res: ServerResponse,
  host: EntryHost,
): Promise<void> {
  const path = (req.url ?? '').split('?')[0]!;
  if (path === '/healthz') return sendText(res, 200, 'ok');
  if (path === '/readyz') {
    return sendText(res, host.isReady ? 200 : 503, describeReadiness(host));
  }
  if (path === '/metrics') {
    const text = await host.metrics.registry.metrics();
    return sendText(res, 200, text);
  }
  if (path === '/v1/models' && req.method === 'GET') {
    return sendModels(res, host);
  }
  const isChat = path === '/v1/chat/completions' && req.method === 'POST';
  const isService = path.startsWith('/services/');
  if (!isChat && !isService) {
    const message = `${req.method} ${path} is not served here`;
    return sendError(res, new VmuxError(ErrorCodes.NotFound, {message}));
  }
  if (host.declarations.current.version === 0) {
    const options = {retryAfterMs: 1_000};
    return sendError(res, new VmuxError(ErrorCodes.NotReady, options));
  }
  return isChat
    ? host.chatHandler.handle(req, res)
    : host.serviceHandler.handle(req, res);
}

function describeReadiness(host: EntryHost): string {
  if (!host.isReady) return 'not ready';
  return host.declarations.isStale ? 'ready, declarations stale' : 'ready';
}

function sendText(res: ServerResponse, status: number, text: string): void {
  res.writeHead(status, {'content-type': 'text/plain; charset=utf-8'});
  res.end(`${text}\n`);
}

function sendModels(res: ServerResponse, host: EntryHost): void {
  const data = host.declarations.current
    .listModels()
    .map(id => ({id, object: 'model', owned_by: 'vanillamux'}));
  res.writeHead(200, {'content-type': 'application/json'});
  res.end(JSON.stringify({object: 'list', data}));
}
