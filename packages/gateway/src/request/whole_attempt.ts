import {monotonicMs} from '@vanillamux/shared';
import type {AnswerHead} from '../connection/answer_head.js';
import type {Exchange} from '../connection/exchange.js';
import {Attempt, type AttemptOptions} from './attempt.js';
import {AttemptEnd} from './attempt_end.js';
import type {AnswerWriter} from './answer_writer.js';
import type {AttemptResult} from './attempt_result.js';

/** Passes an answer on once it is whole. */
export class WholeAttempt extends Attempt {
  constructor(
    options: AttemptOptions,
    private readonly writer: AnswerWriter,
  ) {
    super(options);
  }

  protected async take(
    exchange: Exchange,
    head: AnswerHead,
  ): Promise<AttemptResult> {
    const body = await this.readAll(exchange);
    if (!Buffer.isBuffer(body)) return this.broken(body);
    this.decision.backend.failures.recordSuccess(monotonicMs());
    this.writer.writeWhole(head, body);
    return {end: AttemptEnd.Delivered, reason: `status ${head.status}`};
  }
}
