import {monotonicMs} from '@vanillamux/shared';
import type {AnswerHead} from '../connection/answer_head.js';
import type {Exchange} from '../connection/exchange.js';
import {ExchangeFault} from '../connection/exchange_fault.js';
import {isFramed} from '../connection/is_framed.js';
import type {AnswerWriter} from './answer_writer.js';
import {Attempt, type AttemptOptions} from './attempt.js';
import {AttemptEnd} from './attempt_end.js';
import type {AttemptResult} from './attempt_result.js';
import {EventSplitter} from './event_splitter.js';
import type {StreamProgress} from './stream_progress.js';

/** Options of a `StreamAttempt`. */
export interface StreamAttemptOptions extends AttemptOptions {
  readonly writer: AnswerWriter;
  readonly progress: StreamProgress;
  /** Pause after which the backend server is given up. */
  readonly pauseTimeoutMs: number;
}

/** Passes the events of a stream on as they come, whole ones only. */
export class StreamAttempt extends Attempt {
  constructor(private readonly stream: StreamAttemptOptions) {
    super(stream);
  }

  private noteEvents(count: number): void {
    const {progress} = this.stream;
    const nowMs = monotonicMs();
    const pauseMs = nowMs - (progress.lastEventMs ?? nowMs);
    progress.events += count;
    progress.firstEventMs ??= nowMs;
    progress.lastEventMs = nowMs;
    progress.longestPauseMs = Math.max(progress.longestPauseMs ?? 0, pauseMs);
  }

  protected async take(
    exchange: Exchange,
    head: AnswerHead,
  ): Promise<AttemptResult> {
    const {writer, progress, pauseTimeoutMs, headTimeoutMs} = this.stream;
    if (!writer.hasBegun) writer.begin(head);
    const splitter = new EventSplitter();
    const {signal} = this.request;
    for (;;) {
      const isFirst = progress.events === 0;
      const timeoutMs = isFirst ? headTimeoutMs : pauseTimeoutMs;
      const result = await this.readWithin(exchange, timeoutMs);
      if (!result.ok) return this.broken(result.error);
      if (!result.value) break;
      const {bytes, count} = splitter.push(result.value);
      if (count === 0) continue;
      this.stream.claim.markPrefilled();
      this.noteEvents(count);
      progress.lastEventId = splitter.lastEventId ?? progress.lastEventId;
      await writer.write(bytes, signal);
      if (signal.aborted) {
        return this.broken(new ExchangeFault(true, 'abandoned'));
      }
    }
    const rest = splitter.takeRest();
    const isSure = isFramed(head) || !writer.isFramed;
    if (!isSure || (rest.length > 0 && !isFramed(head))) {
      return this.broken(new ExchangeFault(true, 'ended without a mark'));
    }
    await writer.write(rest, signal);
    this.decision.backend.failures.recordSuccess(monotonicMs());
    writer.end();
    return {end: AttemptEnd.Delivered, reason: `status ${head.status}`};
  }
}
