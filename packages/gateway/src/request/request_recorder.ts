import type {Recorder} from '@vanillamux/control';
import {RecordKind, type RecordContent} from '@vanillamux/protocol';
import {monotonicMs, RunState} from '@vanillamux/shared';
import type {Backend} from '../fleet/backend.js';
import type {PlacementPrediction} from '../placement/placement_prediction.js';
import type {ClientRequest} from './client_request.js';

/** How a request ended, for the record. */
export interface RecordedOutcome {
  readonly runState: RunState;
  readonly attempts: number;
  /** Why it has no answer. */
  readonly code?: string;
  /** The last backend server that it was sent to. */
  readonly backend?: Backend;
  /** What its placement expected. */
  readonly figures?: PlacementPrediction;
  readonly firstEventMs?: number;
}

/** Writes admissions, refusals and completions into the record. */
export class RequestRecorder {
  constructor(private readonly recorder: Recorder) {}

  /**
   * Whether another request can be recorded. While no control host takes the
   * record, requests are refused at some point rather than run without it.
   */
  get hasCapacity(): boolean {
    return this.recorder.hasCapacity;
  }

  /** A request was matched and will be placed. */
  recordAdmission(request: ClientRequest): void {
    this.recorder.add({kind: RecordKind.Admitted, ...describe(request)});
  }

  /**
   * A request was refused before it was admitted. Without room, the refusal is
   * in the log alone, as it would make the record grow without bound.
   */
  recordRefusal(requestId: string, status: number, version: number): void {
    if (!this.recorder.hasCapacity) return;
    const code = `status_${status}`;
    const ran = RunState.NotRun;
    const kind = RecordKind.Refused;
    this.recorder.add({kind, requestId, code, ran, version});
  }

  /** An admitted request has ended; one that has not run was refused. */
  recordOutcome(request: ClientRequest, outcome: RecordedOutcome): void {
    const {backend, figures, firstEventMs} = outcome;
    const isRefusal = outcome.runState === RunState.NotRun;
    this.recorder.add({
      kind: isRefusal ? RecordKind.Refused : RecordKind.Completed,
      ...describe(request),
      ran: outcome.runState,
      code: outcome.code,
      attempts: outcome.attempts,
      backend: backend?.presence.id,
      candidates:
        backend && figures
          ? [
              {
                backend: backend.presence.id,
                estimateMs: Math.round(figures.firstEventMs),
                queuedTokens: 0,
                cachedTokens: 0,
              },
            ]
          : undefined,
      firstTokenMs: firstEventMs && Math.round(firstEventMs),
      durationMs: Math.round(monotonicMs() - request.startedMs),
    });
  }
}

function describe(request: ClientRequest): Omit<RecordContent, 'kind'> {
  const {
    metadata: metadata,
    route,
    service,
    workspace,
    configVersion,
  } = request;
  return {
    requestId: metadata.requestId,
    workspace,
    class: route.isStream ? 'stream' : route.retryPolicy,
    rule: route.name,
    target: service.name,
    promptTokens: metadata.promptTokens > 0 ? metadata.promptTokens : undefined,
    version: configVersion,
  };
}
