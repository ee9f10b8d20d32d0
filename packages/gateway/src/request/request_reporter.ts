import {getLogger, monotonicMs, RunState} from '@vanillamux/shared';
import type {PlacementDecision} from '../placement/placement_decision.js';
import type {AdmissionRefusal} from '../admission/admission_refusal.js';
import {RefusalReason} from '../admission/refusal_reason.js';
import {RelayDirection} from '../relay/relay_direction.js';
import {AttemptOutcome} from './attempt_outcome.js';
import type {AttemptResult} from './attempt_result.js';
import type {ClientRequest} from './client_request.js';
import type {GatewayComponents} from './gateway_components.js';
import type {RunningAttempt} from './running_attempt.js';
import {SilenceVerdict} from './silence_verdict.js';
import type {StreamProgress} from './stream_progress.js';

const LOSS_DIGITS = 3;
const log = getLogger('request');

/** Reports what happens to one request to the log, metrics and record. */
export class RequestReporter {
  private attempts = 0;
  private lastDecision?: PlacementDecision;
  private lastRefusal?: string;

  constructor(
    private readonly components: GatewayComponents,
    private readonly request: ClientRequest,
    private readonly progress: StreamProgress,
  ) {
    components.requestRecorder.recordAdmission(request);
  }

  /** Reports that an attempt begins. */
  reportAttempt(decision: PlacementDecision): void {
    this.attempts++;
    this.lastDecision = decision;
    const {backend, helpers, prediction: figures} = decision;
    const {metadata} = this.request;
    if (decision.isRelay) {
      this.components.metrics.countRelay(RelayDirection.Sent);
      log.info('Relayed a request.', {
        request: metadata.requestId,
        to: backend.presence.id,
        service: this.request.service.name,
        relaysInFlight: backend.inFlight,
        ageMs: this.ageMs(),
      });
    }
    if (!figures) return;
    log.info('Placed a request.', {
      request: metadata.requestId,
      backend: backend.presence.id,
      engines: helpers.length + 1,
      helpers: helpers.map(({presence}) => presence.id).join(),
      promptTokens: metadata.promptTokens,
      answerTokens: metadata.expectedOutputTokens,
      partMs: Math.round(figures.prefillShareMs),
      firstEventMs: Math.round(figures.firstEventMs),
      loss: Number(figures.predictedLoss.toFixed(LOSS_DIGITS)),
      backlogMs: Math.round(backend.work.backlogMs(monotonicMs())),
    });
  }

  /** Reports that admission rules out an attempt. */
  reportRefusal(
    {prediction}: PlacementDecision,
    {reason, returnMs, inputs}: AdmissionRefusal,
  ): void {
    const {route, service, metadata} = this.request;
    this.components.metrics.countAdmissionRefusal(
      service.name,
      route.priority,
      reason,
    );
    if (!prediction) return;
    const fields = {
      request: metadata.requestId,
      route: route.name,
      goalMs: route.latencyGoalMs,
      firstEventMs: Math.round(prediction.firstEventMs),
      idleFirstEventMs: Math.round(prediction.idleFirstEventMs),
      attempt: this.attempts + 1,
      ...roundInputs(inputs),
      returnMs,
      ageMs: this.ageMs(),
    };
    if (reason === RefusalReason.Price)
      log.info('No attempt, as the room serves others better.', fields);
    else log.info('No attempt for the backlog of the engines.', fields);
  }

  /** Reports that nothing has arrived from a backend server for too long. */
  reportSilence(reason: string, {decision, number}: RunningAttempt): void {
    this.lastRefusal = undefined;
    log.info('A backend server is silent.', {
      request: this.request.metadata.requestId,
      backend: decision.backend.presence.id,
      reason,
      attempt: number,
      events: this.progress.events,
      ageMs: this.ageMs(),
    });
  }

  /** Reports once that no attempt can run beside a silent one. */
  reportKeptAttempt(reason: string): void {
    if (this.lastRefusal === reason) return;
    this.lastRefusal = reason;
    this.countSilentAttempt(SilenceVerdict.Kept);
    log.info('No attempt beside a silent one; waiting for it.', {
      request: this.request.metadata.requestId,
      reason,
      ageMs: this.ageMs(),
    });
  }

  /** Counts an attempt that begins beside a silent one. */
  countReplacement(): void {
    this.countSilentAttempt(SilenceVerdict.Replaced);
  }

  /** Reports an attempt that ended without a complete response. */
  reportFailedAttempt(
    {outcome, reason}: AttemptResult,
    {decision, number, firstProgressMs}: RunningAttempt,
  ): void {
    const {requestId, sharedParts} = this.request.metadata;
    this.components.metrics.countFailedAttempt(
      this.request.service.name,
      outcome,
    );
    log.info('An attempt failed.', {
      request: requestId,
      backend: decision.backend.presence.id,
      end: outcome,
      reason,
      attempt: number,
      ageMs: this.ageMs(),
      progressAgeMs:
        firstProgressMs && Math.round(monotonicMs() - firstProgressMs),
      requestDigest: this.request.fingerprint.digest,
      sharedParts: sharedParts?.join(),
    });
  }

  /** Reports a response that is passed on although it may be incomplete. */
  reportUnproven({decision, number}: RunningAttempt): void {
    log.info(
      'Passed on a response of which nothing proves that it is complete.',
      {
        request: this.request.metadata.requestId,
        backend: decision.backend.presence.id,
        attempt: number,
        sends: this.attempts,
        events: this.progress.events,
        ageMs: this.ageMs(),
      },
    );
  }

  /** Reports a request that failed and is not retried. */
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

  /** Reports a request whose deadline has passed. */
  reportDeadlineExceeded(): void {
    const {metadata, route, deadlineMs, startedMs} = this.request;
    log.info('The time of a request is over.', {
      request: metadata.requestId,
      route: route.name,
      timeoutMs: Math.round(deadlineMs - startedMs),
      sends: this.attempts,
      events: this.progress.events,
    });
  }

  /** Reports the end of the request, whatever the outcome. */
  reportOutcome(
    outcome: AttemptOutcome,
    runState: RunState,
    code?: string,
    decision = this.lastDecision,
  ): void {
    const {request, components} = this;
    const {route, startedMs} = request;
    const firstEventAtMs = this.progress.firstEventMs;
    components.metrics.observeRequest(route, outcome, {
      durationMs: monotonicMs() - startedMs,
      firstEventMs: firstEventAtMs && firstEventAtMs - startedMs,
      longestPauseMs: this.progress.longestPauseMs,
    });
    components.requestRecorder.recordOutcome(request, {
      runState,
      code,
      attempts: this.attempts,
      backend: decision?.backend,
      figures: decision?.prediction,
      firstEventMs: firstEventAtMs && firstEventAtMs - startedMs,
    });
  }

  private countSilentAttempt(verdict: SilenceVerdict): void {
    const {name} = this.request.service;
    this.components.metrics.countSilentAttempt(name, verdict);
  }

  private ageMs(): number {
    return Math.round(monotonicMs() - this.request.startedMs);
  }
}

function roundInputs(
  inputs: AdmissionRefusal['inputs'] = {},
): Record<string, number> {
  return Object.fromEntries(
    Object.entries(inputs).map(([name, value]) => [
      name,
      Number(value.toPrecision(LOSS_DIGITS)),
    ]),
  );
}
