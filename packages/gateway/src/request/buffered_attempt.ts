import type {ResponseHead} from '../connection/response_head.js';
import type {Exchange} from '../connection/exchange.js';
import {Attempt, type AttemptOptions} from './attempt.js';
import type {ResponseWriter} from './response_writer.js';
import type {AttemptResult} from './attempt_result.js';

/** Forwards a response once its body is complete. */
export class BufferedAttempt extends Attempt {
  constructor(
    options: AttemptOptions,
    private readonly writer: ResponseWriter,
  ) {
    super(options);
  }

  protected forwardResponse(
    exchange: Exchange,
    head: ResponseHead,
  ): Promise<AttemptResult> {
    return this.forwardWhole(exchange, head, this.writer);
  }
}
