import {createServer, type IncomingMessage, type Server} from 'node:http';
import type {ServerResponse} from 'node:http';
import {announcementSchema} from '@vanillamux/protocol';
import {ErrorCodes, getLogger, VmuxError} from '@vanillamux/shared';
import type {EntryHost} from './entry_host.js';
import {parseJsonBody} from './parse_json_body.js';
import {sendError} from './send_error.js';

const MAX_ANNOUNCEMENT_BYTES = 1_024 * 1_024;

const log = getLogger('http');

/** Creates the HTTP server that receives backend servers' announcements. */
export function createInternalServer(host: EntryHost): Server {
  return createServer((req, res) => {
    handleAnnouncement(req, res, host).catch((error: unknown) => {
      log.error('Unhandled error while serving a request.', {error});
      sendError(res, new VmuxError(ErrorCodes.Internal));
    });
  });
}

async function handleAnnouncement(
  req: IncomingMessage,
  res: ServerResponse,
  host: EntryHost,
): Promise<void> {
  if (req.method !== 'POST' || req.url !== '/v1/announce') {
    return sendError(res, new VmuxError(ErrorCodes.NotFound));
  }
  const announcement = await parseJsonBody(
    req,
    announcementSchema,
    MAX_ANNOUNCEMENT_BYTES,
  );
  if (!announcement.ok) return sendError(res, announcement.error);
  const accepted = host.mesh.receiveAnnouncement(announcement.value);
  res.writeHead(200, {'content-type': 'application/json'});
  res.end(JSON.stringify({accepted}));
}
