import {createServer, type IncomingMessage, type Server} from 'node:http';
import type {ServerResponse} from 'node:http';
import {announcementSchema} from '@vanillamux/protocol';
import {ErrorCodes, VmuxError} from '@vanillamux/shared';
import type {EntryHost} from './entry_host.js';
import {parseJsonBody} from './parse_json_body.js';
import {sendError} from './send_error.js';

const MAX_ANNOUNCEMENT_BYTES = 1_024 * 1_024;

/** Creates the HTTP server that backend servers announce to. */
export function createInternalServer(host: EntryHost): Server {
  return createServer((req, res) => {
    void handleAnnouncement(req, res, host);
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
