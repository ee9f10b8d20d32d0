import type {ResponseHead} from './response_head.js';

/**
 * Whether the headers delimit the body, so that its end can be told from a
 * closed connection.
 */
export function isFramed({headers}: ResponseHead): boolean {
  return (
    headers['content-length'] !== undefined ||
    headers['transfer-encoding'] !== undefined
  );
}
