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
    const {backend, helpers, figures} = decision;
    if (!figures) return;
    const {facts} = this.request;
    log.info('Placed a request.', {
      request: facts.requestId,
      backend: backend.presence.id,
      engines: helpers.length + 1,
      promptTokens: facts.promptTokens,
      answerTokens: facts.expectedOutputTokens,
      partMs: Math.round(figures.partMs),
      firstEventMs: Math.round(figures.firstEventMs),
      loss: Number(figures.loss.toFixed(LOSS_DIGITS)),
      backlogMs: Math.round(backend.work.backlogMs(monotonicMs())),
    });
  }

  /** An attempt has ended without a whole answer. */
  noteFailed({end, reason}: AttemptResult): void {
    this.parts.metrics.countFailedAttempt(this.request.service.name, end);
    log.info('An attempt failed.', {
      request: this.request.facts.requestId,
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
      request: this.request.facts.requestId,
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
      request: facts.requestId,
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
    parts.metrics.observeRequest(route, end, {
      durationMs: monotonicMs() - startedMs,
      firstEventMs: firstMs && firstMs - startedMs,
      longestPauseMs: this.progress.longestPauseMs,
    });
    parts.record.noteEnd(request, {
      ran,
      code,
      attempts: this.sends,
      backend: lastDecision?.backend,
      figures: lastDecision?.figures,
      firstEventMs: firstMs && firstMs - startedMs,
    });
  }

  private ageMs(): number {
    return Math.round(monotonicMs() - this.request.startedMs);
  }
}
