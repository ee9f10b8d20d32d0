import {monotonicMs} from '@vanillamux/shared';
import type {ResponseHead} from '../connection/response_head.js';
import type {Exchange} from '../connection/exchange.js';
import {Attempt, type AttemptOptions} from './attempt.js';
import {AttemptOutcome} from './attempt_outcome.js';
import type {ResponseWriter} from './response_writer.js';
import type {AttemptResult} from './attempt_result.js';

/** Passes an answer on once it is whole. */
export class BufferedAttempt extends Attempt {
  constructor(
    options: AttemptOptions,
    private readonly writer: ResponseWriter,
  ) {
    super(options);
  }

  protected async forwardResponse(
    exchange: Exchange,
    head: ResponseHead,
  ): Promise<AttemptResult> {
    const body = await this.readBody(exchange);
    if (!Buffer.isBuffer(body)) return this.handleExchangeError(body);
    this.decision.backend.failures.recordSuccess(monotonicMs());
    this.writer.writeComplete(head, body);
    return {outcome: AttemptOutcome.Completed, reason: `status ${head.status}`};
  }
}
