import type {AnswerHead} from '../connection/answer_head.js';
import type {AttemptEnd} from './attempt_end.js';

/** How an attempt ended, and what is known of it. */
export interface AttemptResult {
  readonly end: AttemptEnd;
  readonly reason: string;
  /** The answer of a backend server that failed the request. */
  readonly failure?: {readonly head: AnswerHead; readonly body: Buffer};
}
