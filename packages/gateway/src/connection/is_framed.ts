import type {ResponseHead} from './response_head.js';

/** Whether the end of the body is marked by more than the connection's end. */
export function isFramed({headers}: ResponseHead): boolean {
  return (
    headers['content-length'] !== undefined ||
    headers['transfer-encoding'] !== undefined
  );
}
