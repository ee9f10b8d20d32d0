import type {ResponseHead} from '../connection/response_head.js';
import type {Backend} from '../fleet/backend.js';
import type {AttemptEnd} from './attempt_end.js';

/** How an attempt ended, and what is known of it. */
export interface AttemptResult {
  readonly end: AttemptEnd;
  readonly reason: string;
  /** A helper that is at fault in place of the one that was asked. */
  readonly faulty?: Backend;
  /** The answer of a backend server that failed the request. */
  readonly failure?: {readonly head: ResponseHead; readonly body: Buffer};
}
