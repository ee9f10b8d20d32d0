import {getLogger, monotonicMs, RunState} from '@vanillamux/shared';
import type {PlacementDecision} from '../placement/placement_decision.js';
import {AttemptEnd} from './attempt_end.js';
import type {AttemptResult} from './attempt_result.js';
import type {ClientRequest} from './client_request.js';
import type {GatewayParts} from './gateway_parts.js';
import type {StreamProgress} from './stream_progress.js';

const LOSS_DIGITS = 3;

const log = getLogger('request');

/** Tells the log, the metrics and the record what becomes of one request. */
export class RequestJournal {
  private sends = 0;
  private lastDecision?: PlacementDecision;

  constructor(
    private readonly parts: GatewayParts,
    private readonly request: ClientRequest,
    private readonly progress: StreamProgress,
  ) {
    parts.record.noteAdmitted(request);
  }

  /** An attempt begins where the decision says. */
  notePlaced(decision: PlacementDecision): void {
    this.sends++;
    this.lastDecision = decision;
    const {backend, helpers, prediction: figures} = decision;
    if (!figures) return;
    const {facts} = this.request;
    log.info('Placed a request.', {
      request: facts.attemptId,
      backend: backend.presence.id,
      engines: helpers.length + 1,
      promptTokens: facts.promptTokens,
      answerTokens: facts.answerTokens,
      partMs: Math.round(figures.prefillShareMs),
      firstEventMs: Math.round(figures.firstEventMs),
      loss: Number(figures.predictedLoss.toFixed(LOSS_DIGITS)),
      backlogMs: Math.round(backend.work.backlogMs(monotonicMs())),
    });
  }

  /** An attempt has ended without a whole answer. */
  noteFailed({end, reason}: AttemptResult): void {
    this.parts.metrics.noteFailedAttempt(this.request.service.name, end);
    log.info('An attempt failed.', {
      request: this.request.facts.attemptId,
      backend: this.lastDecision?.backend.presence.id,
      end,
      reason,
      attempt: this.sends,
      ageMs: this.ageMs(),
    });
  }

  /** No further attempt is made. */
  noteGivenUp(ran: RunState, reason: string): void {
    const isNotRun = ran === RunState.NotRun;
    this.noteEnd(isNotRun ? AttemptEnd.NotRun : AttemptEnd.Broken, ran, reason);
    log.info('Gave up a request.', {
      request: this.request.facts.attemptId,
      route: this.request.route.name,
      reason,
      sends: this.sends,
      mayHaveRun: !isNotRun,
      configVersion: this.request.configVersion,
      ageMs: this.ageMs(),
    });
  }

  /** The deadline has passed. */
  noteTimedOut(): void {
    const {facts, route, deadlineMs, startedMs} = this.request;
    log.info('The time of a request is over.', {
      request: facts.attemptId,
      route: route.name,
      timeoutMs: Math.round(deadlineMs - startedMs),
      sends: this.sends,
      events: this.progress.events,
    });
  }

  /** The request has ended. */
  noteEnd(end: AttemptEnd, ran: RunState, code?: string): void {
    const {request, parts, lastDecision} = this;
    const {route, startedMs} = request;
    const firstMs = this.progress.firstEventMs;
    parts.metrics.noteEnd(route, end, {
      durationMs: monotonicMs() - startedMs,
      firstEventMs: firstMs && firstMs - startedMs,
      longestPauseMs: this.progress.longestPauseMs,
    });
    parts.record.noteEnd(request, {
      ran,
      code,
      attempts: this.sends,
      backend: lastDecision?.backend,
      figures: lastDecision?.prediction,
      firstEventMs: firstMs && firstMs - startedMs,
    });
  }

  private ageMs(): number {
    return Math.round(monotonicMs() - this.request.startedMs);
  }
}
