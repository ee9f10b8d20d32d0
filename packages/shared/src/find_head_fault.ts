import type {IncomingHttpHeaders} from 'node:http';

/** Characters that a reason phrase can't hold (RFC 9112, section 4). */
const NOT_REASON_PHRASE = /[^\t\x20-\x7e\u0080-\uffff]/;

/**
 * Returns why a response head is malformed, or nothing. Covers what the undici
 * client accepts: a control character in the reason phrase, and a transfer
 * coding other than `chunked`, without which it passes on the encoded body.
 */
export function findHeadFault(
  headers: IncomingHttpHeaders,
  reasonPhrase = '',
): string | undefined {
  if (NOT_REASON_PHRASE.test(reasonPhrase))
    return 'a control character in the reason phrase';
  const coding: string | readonly string[] | undefined =
    headers['transfer-encoding'];
  if (coding === undefined || isChunked(coding)) return undefined;
  return `transfer coding ${JSON.stringify(coding)}`;
}

function isChunked(coding: string | readonly string[]): boolean {
  return (
    typeof coding === 'string' && coding.trim().toLowerCase() === 'chunked'
  );
}
