import {requestSuspect} from './request_suspect.js';

/** Whether a suspect is a request rather than a prompt part. */
export function isRequestSuspect(suspect: string): boolean {
  return suspect.startsWith(requestSuspect(''));
}
