import type {ResponseHead} from '../connection/response_head.js';
import type {Backend} from '../fleet/backend.js';
import type {AttemptOutcome} from './attempt_outcome.js';

/** How an attempt ended, and what is known of it. */
export interface AttemptResult {
  readonly outcome: AttemptOutcome;
  readonly reason: string;
  /** A helper that is at fault in place of the one that was asked. */
  readonly faultyHelper?: Backend;
  /** The answer of a backend server that failed the request. */
  readonly failureResponse?: {
    readonly head: ResponseHead;
    readonly body: Buffer;
  };
}
