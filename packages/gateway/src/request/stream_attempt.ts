import {monotonicMs} from '@vanillamux/shared';
import type {ResponseHead} from '../connection/response_head.js';
import type {Exchange} from '../connection/exchange.js';
import {ExchangeError} from '../connection/exchange_error.js';
import {isFramed} from '../connection/is_framed.js';
import type {ResponseWriter} from './response_writer.js';
import {Attempt, type AttemptOptions} from './attempt.js';
import {AttemptOutcome} from './attempt_outcome.js';
import type {AttemptResult} from './attempt_result.js';
import {EventSplitter} from './event_splitter.js';
import type {StreamProgress} from './stream_progress.js';

/** Options of a `StreamAttempt`. */
export interface StreamAttemptOptions extends AttemptOptions {
  readonly writer: ResponseWriter;
  readonly progress: StreamProgress;
  /** Pause after which the backend server is given up. */
  readonly pauseTimeoutMs: number;
}

/** Passes the events of a stream on as they come, whole ones only. */
export class StreamAttempt extends Attempt {
  constructor(private readonly streamOptions: StreamAttemptOptions) {
    super(streamOptions);
  }

  private trackEvents(count: number): void {
    const {progress} = this.streamOptions;
    const nowMs = monotonicMs();
    const pauseMs = nowMs - (progress.lastEventMs ?? nowMs);
    progress.events += count;
    progress.firstEventMs ??= nowMs;
    progress.lastEventMs = nowMs;
    progress.longestPauseMs = Math.max(progress.longestPauseMs ?? 0, pauseMs);
  }

  protected async forwardResponse(
    exchange: Exchange,
    head: ResponseHead,
  ): Promise<AttemptResult> {
    const {
      writer,
      progress,
      pauseTimeoutMs,
      responseHeadTimeoutMs: responseHeadTimeoutMs,
    } = this.streamOptions;
    if (!writer.hasSentHead) writer.writeHead(head);
    const splitter = new EventSplitter();
    const {signal} = this.request;
    for (;;) {
      const isFirst = progress.events === 0;
      const timeoutMs = isFirst ? responseHeadTimeoutMs : pauseTimeoutMs;
      const result = await this.readWithin(exchange, timeoutMs);
      if (!result.ok) return this.handleExchangeError(result.error);
      if (!result.value) break;
      const {bytes, count} = splitter.push(result.value);
      if (count === 0) continue;
      this.streamOptions.claim.markPrefilled();
      this.trackEvents(count);
      progress.lastEventId = splitter.lastEventId ?? progress.lastEventId;
      await writer.write(bytes, signal);
      if (signal.aborted) {
        return this.handleExchangeError(new ExchangeError(true, 'abandoned'));
      }
    }
    const remainder = splitter.takeRemainder();
    const isEndReliable = isFramed(head) || !writer.isFramed;
    if (!isEndReliable || (remainder.length > 0 && !isFramed(head))) {
      return this.handleExchangeError(
        new ExchangeError(true, 'ended without a mark'),
      );
    }
    await writer.write(remainder, signal);
    this.decision.backend.failures.recordSuccess(monotonicMs());
    writer.end();
    return {outcome: AttemptOutcome.Completed, reason: `status ${head.status}`};
  }
}
