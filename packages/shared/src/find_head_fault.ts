import type {IncomingHttpHeaders} from 'node:http';
import {isChunked} from './is_chunked.js';

/** Characters that a reason phrase can't hold (RFC 9112, section 4). */
const NOT_REASON_PHRASE = /[^\t\x20-\x7e\u0080-\uffff]/;

/** Statuses that are defined (RFC 9110, section 15). */
const MIN_STATUS = 100;
const MAX_STATUS = 599;

/**
 * Returns why a response head is malformed, or nothing. Covers what the undici
 * client accepts: a status that is none, a control character in the reason
 * phrase, and a transfer coding other than `chunked`, of which it passes on the
 * encoded body.
 */
export function findHeadFault(
  status: number,
  headers: IncomingHttpHeaders,
  reasonPhrase = '',
): string | undefined {
  if (status < MIN_STATUS || status > MAX_STATUS) return `status ${status}`;
  if (NOT_REASON_PHRASE.test(reasonPhrase))
    return 'a control character in the reason phrase';
  const coding: string | readonly string[] | undefined =
    headers['transfer-encoding'];
  if (coding === undefined || isChunked(coding)) return undefined;
  return `transfer coding ${JSON.stringify(coding)}`;
}
