import type {IncomingMessage} from 'node:http';
import type {UnansweredReason} from './unanswered_reason.js';

/** A request that was read and whose connection closed without a response. */
export interface UnansweredRequest {
  readonly req: IncomingMessage;
  readonly reason: UnansweredReason;
  /** Time since its header was read, in milliseconds. */
  readonly ageMs: number;
  /** Whether a part of the response may have reached the client. */
  readonly hasBegun: boolean;
}
