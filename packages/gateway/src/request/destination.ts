import type {ExchangeRequest} from '../connection/exchange_request.js';
import type {ResponseHead} from '../connection/response_head.js';
import type {AttemptResult} from './attempt_result.js';
import type {EndVerdict} from './end_verdict.js';

/** Where an attempt sends a request, and what is learned from the exchange. */
export abstract class Destination {
  /** Creates the request, for a client that waits `remainingMs` more. */
  abstract createRequest(remainingMs: number): ExchangeRequest;
  /**
   * Learns from the head of a response. Returns the result of the attempt
   * unless the response is one to forward.
   */
  abstract readHead(head: ResponseHead): AttemptResult | undefined;
  /**
   * Finds out whether a body is whole that the ordinary end of the connection
   * delimits. Called right after that end.
   */
  abstract verifyEnd(): Promise<EndVerdict>;
  /** Learns that the destination failed or fell silent before a response. */
  abstract recordNoResponse(): void;
  /** Learns that the destination did not accept the connection in time. */
  abstract recordConnectTimeout(): void;
}
