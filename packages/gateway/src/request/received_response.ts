import type {ResponseHead} from '../connection/response_head.js';
import type {ReceivedBody} from './received_body.js';

/** A response that was received to its end. */
export interface ReceivedResponse {
  readonly head: ResponseHead;
  readonly body: ReceivedBody;
}
