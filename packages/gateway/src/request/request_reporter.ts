import {getLogger, monotonicMs, RunState} from '@vanillamux/shared';
import type {PlacementDecision} from '../placement/placement_decision.js';
import {AttemptOutcome} from './attempt_outcome.js';
import type {AttemptResult} from './attempt_result.js';
import type {ClientRequest} from './client_request.js';
import type {GatewayComponents} from './gateway_components.js';
import type {StreamProgress} from './stream_progress.js';

const LOSS_DIGITS = 3;

const log = getLogger('request');

/** Tells the log, the metrics and the record what becomes of one request. */
export class RequestReporter {
  private attempts = 0;
  private lastDecision?: PlacementDecision;

  constructor(
    private readonly components: GatewayComponents,
    private readonly request: ClientRequest,
    private readonly progress: StreamProgress,
  ) {
    components.requestRecorder.recordAdmission(request);
  }

  /** An attempt begins where the decision says. */
  reportAttempt(decision: PlacementDecision): void {
    this.attempts++;
    this.lastDecision = decision;
    const {backend, helpers, prediction: figures} = decision;
    if (!figures) return;
    const {metadata: metadata} = this.request;
    log.info('Placed a request.', {
      request: metadata.requestId,
      backend: backend.presence.id,
      engines: helpers.length + 1,
      promptTokens: metadata.promptTokens,
      answerTokens: metadata.expectedOutputTokens,
      partMs: Math.round(figures.prefillShareMs),
      firstEventMs: Math.round(figures.firstEventMs),
      loss: Number(figures.predictedLoss.toFixed(LOSS_DIGITS)),
      backlogMs: Math.round(backend.work.backlogMs(monotonicMs())),
    });
  }

  /** An attempt has ended without a whole answer. */
  reportFailedAttempt({outcome: outcome, reason}: AttemptResult): void {
    this.components.metrics.countFailedAttempt(
      this.request.service.name,
      outcome,
    );
    log.info('An attempt failed.', {
      request: this.request.metadata.requestId,
      backend: this.lastDecision?.backend.presence.id,
      end: outcome,
      reason,
      attempt: this.attempts,
      ageMs: this.ageMs(),
    });
  }

  /** No further attempt is made. */
  reportFailure(runState: RunState, reason: string): void {
    const isNotRun = runState === RunState.NotRun;
    this.reportOutcome(
      isNotRun ? AttemptOutcome.NotRun : AttemptOutcome.Incomplete,
      runState,
      reason,
    );
    log.info('Gave up a request.', {
      request: this.request.metadata.requestId,
      route: this.request.route.name,
      reason,
      sends: this.attempts,
      mayHaveRun: !isNotRun,
      configVersion: this.request.configVersion,
      ageMs: this.ageMs(),
    });
  }

  /** The deadline has passed. */
  reportDeadlineExceeded(): void {
    const {metadata: metadata, route, deadlineMs, startedMs} = this.request;
    log.info('The time of a request is over.', {
      request: metadata.requestId,
      route: route.name,
      timeoutMs: Math.round(deadlineMs - startedMs),
      sends: this.attempts,
      events: this.progress.events,
    });
  }

  /** The request has ended. */
  reportOutcome(
    outcome: AttemptOutcome,
    runState: RunState,
    code?: string,
  ): void {
    const {request, components: components, lastDecision} = this;
    const {route, startedMs} = request;
    const firstEventAtMs = this.progress.firstEventMs;
    components.metrics.observeRequest(route, outcome, {
      durationMs: monotonicMs() - startedMs,
      firstEventMs: firstEventAtMs && firstEventAtMs - startedMs,
      longestPauseMs: this.progress.longestPauseMs,
    });
    components.requestRecorder.recordOutcome(request, {
      runState: runState,
      code,
      attempts: this.attempts,
      backend: lastDecision?.backend,
      figures: lastDecision?.prediction,
      firstEventMs: firstEventAtMs && firstEventAtMs - startedMs,
    });
  }

  private ageMs(): number {
    return Math.round(monotonicMs() - this.request.startedMs);
  }
}
