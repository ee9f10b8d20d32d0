import {monotonicMs} from '@vanillamux/shared';
import type {ResponseHead} from '../connection/response_head.js';
import type {Exchange} from '../connection/exchange.js';
import {ExchangeError} from '../connection/exchange_error.js';
import {isFramed} from '../connection/is_framed.js';
import {observePace} from '../placement/observe_pace.js';
import type {ResponseWriter} from './response_writer.js';
import {Attempt, type AttemptOptions} from './attempt.js';
import {AttemptOutcome} from './attempt_outcome.js';
import {createAbortedResult} from './create_aborted_result.js';
import type {AttemptResult} from './attempt_result.js';
import {createBrokenOffError} from './create_broken_off_error.js';
import {EndVerdict} from './end_verdict.js';
import {EventSplitter} from './event_splitter.js';
import type {StreamProgress} from './stream_progress.js';
import {UNPROVEN_END} from './unproven_end.js';

const FIRST_NON_SUCCESS_STATUS = 300;

/** Options of a `StreamAttempt`. */
export interface StreamAttemptOptions extends AttemptOptions {
  readonly writer: ResponseWriter;
  readonly progress: StreamProgress;
  /** Called when events have arrived. */
  readonly onEvents: () => void;
  /** Pause between events after which `onSilent` is called. */
  readonly pauseTimeoutMs: number;
}

/** Forwards the events of a stream as they arrive, complete ones only. */
export class StreamAttempt extends Attempt {
  constructor(private readonly streamOptions: StreamAttemptOptions) {
    super(streamOptions);
  }

  private startForwarding(head: ResponseHead): void {
    const {writer, onProgress} = this.streamOptions;
    onProgress();
    if (!writer.hasSentHead) writer.writeHead(head);
  }

  private trackEvents(count: number): void {
    const {progress} = this.streamOptions;
    const nowMs = monotonicMs();
    const pauseMs = nowMs - (progress.lastEventMs ?? nowMs);
    progress.events += count;
    progress.mayBeComplete = false;
    progress.firstEventMs ??= nowMs;
    progress.lastEventMs = nowMs;
    progress.longestPauseMs = Math.max(progress.longestPauseMs ?? 0, pauseMs);
    this.observePace(count, pauseMs, nowMs);
  }

  /** Several events at once say nothing of an iteration, nor do relayed ones. */
  private observePace(count: number, pauseMs: number, nowMs: number): void {
    const {engine} = this.request.service;
    const {backend, isRelay} = this.decision;
    if (!engine || isRelay || count !== 1 || pauseMs === 0) return;
    observePace(backend, engine, {pauseMs, nowMs});
  }

  protected async forwardResponse(
    exchange: Exchange,
    head: ResponseHead,
  ): Promise<AttemptResult> {
    const {writer, progress, pauseTimeoutMs, responseHeadTimeoutMs, signal} =
      this.streamOptions;
    if (!isSuccess(head)) {
      if (!writer.hasSentHead) return this.forwardWhole(exchange, head, writer);
      return {
        outcome: AttemptOutcome.Incomplete,
        reason: `backend server answered ${head.status} to a resumed stream`,
      };
    }
    const splitter = new EventSplitter({
      onTooLarge: reason => exchange.cancel(reason),
    });
    let hasEvents = false;
    for (;;) {
      this.expectProgress(
        progress.events === 0 ? responseHeadTimeoutMs : pauseTimeoutMs,
      );
      const result = await exchange.read();
      if (signal.aborted) return createAbortedResult(signal);
      if (!result.ok) return this.handleExchangeError(result.error);
      this.recordBytes();
      if (!result.value) break;
      const {bytes, count} = splitter.push(result.value);
      if (count === 0) continue;
      hasEvents = true;
      this.startForwarding(head);
      this.streamOptions.onEvents();
      this.streamOptions.claim.markPrefilled();
      this.trackEvents(count);
      progress.lastEventId = splitter.lastEventId ?? progress.lastEventId;
      await writer.write(bytes, signal);
      if (signal.aborted) return createAbortedResult(signal);
    }
    // A stream is complete if its end falls between events; the exchange itself
    // fails on a reset. Without framing, an end before any event is that of the
    // connection alone, and one after it may be that of the server. A stream that
    // was resumed after its last event has no further one.
    const hasEnded =
      hasEvents || isFramed(head) || (progress.mayBeComplete ?? false);
    if (!hasEnded || splitter.takeRemainder().length > 0) {
      return this.handleExchangeError(
        new ExchangeError(true, 'ended inside an event', {isDisconnect: true}),
      );
    }
    const verdict = await this.verifyEnd(head);
    if (signal.aborted) return createAbortedResult(signal);
    if (verdict === EndVerdict.Broken)
      return this.handleExchangeError(createBrokenOffError());
    if (verdict === EndVerdict.Unproven) {
      progress.mayBeComplete = true;
      return UNPROVEN_END;
    }
    this.startForwarding(head);
    this.decision.backend.failures.recordSuccess(monotonicMs());
    writer.end();
    return {outcome: AttemptOutcome.Completed, reason: `status ${head.status}`};
  }
}

function isSuccess({status}: ResponseHead): boolean {
  return status < FIRST_NON_SUCCESS_STATUS;
}
