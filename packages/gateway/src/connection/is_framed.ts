import type {AnswerHead} from './answer_head.js';

/** Whether the end of the body is marked by more than the connection's end. */
export function isFramed({headers}: AnswerHead): boolean {
  return (
    headers['content-length'] !== undefined ||
    headers['transfer-encoding'] !== undefined
  );
}
