import type {Recorder} from '@vanillamux/control';
import {RecordKind, type RecordContent} from '@vanillamux/protocol';
import {monotonicMs, RunState} from '@vanillamux/shared';
import type {Backend} from '../fleet/backend.js';
import type {PlacementPrediction} from '../placement/placement_prediction.js';
import type {ClientRequest} from './client_request.js';

/** Outcome of a request, as written to the record. */
export interface RecordedOutcome {
  readonly runState: RunState;
  readonly attempts: number;
  /** Why the request has no complete response. */
  readonly code?: string;
  /** Backend server of the last attempt. */
  readonly backend?: Backend;
  /** Predictions of the last placement. */
  readonly figures?: PlacementPrediction;
  readonly firstEventMs?: number;
}

/** Writes the admission, refusal and completion of requests to the record. */
export class RequestRecorder {
  constructor(private readonly recorder: Recorder) {}

  /**
   * Whether another request can be recorded. While control hosts store no
   * entries, the record fills up; requests are then refused rather than run
   * unrecorded.
   */
  get hasCapacity(): boolean {
    return this.recorder.hasCapacity;
  }

  /** Records a request that was matched with a route and will be placed. */
  recordAdmission(request: ClientRequest): void {
    this.recorder.add({kind: RecordKind.Admitted, ...describe(request)});
  }

  /**
   * Records a request that was refused before admission. A full record skips
   * the refusal, which is then only logged: otherwise refusals would make the
   * record grow without bound.
   */
  recordRefusal(requestId: string, status: number, version: number): void {
    if (!this.recorder.hasCapacity) return;
    const code = `status_${status}`;
    const ran = RunState.NotRun;
    const kind = RecordKind.Refused;
    this.recorder.add({kind, requestId, code, ran, version});
  }

  /** Records the end of an admitted request; a refusal if it did not run. */
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
  const {metadata, route, service, workspace, configVersion} = request;
  return {
    requestId: metadata.requestId,
    workspace,
    class: route.isStream ? 'stream' : route.retryPolicy,
    rule: route.name,
    target: service.name,
    promptTokens: metadata.promptTokens > 0 ? metadata.promptTokens : undefined,
    version: configVersion,
    relayedFrom: request.relay?.from,
  };
}
