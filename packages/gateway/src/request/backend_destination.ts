import {formatAddress, getLogger, monotonicMs} from '@vanillamux/shared';
import {PresenceState} from '@vanillamux/protocol';
import type {CheckedProcess} from '../connection/checked_process.js';
import type {ExchangeRequest} from '../connection/exchange_request.js';
import {ListenerState} from '../connection/listener_state.js';
import type {ResponseHead} from '../connection/response_head.js';
import {endToEndHeaders} from '../dialect/end_to_end_headers.js';
import type {PrefillHelper} from '../dialect/prefill_helper.js';
import type {ResponseMetadata} from '../dialect/response_metadata.js';
import {ResponseVerdict} from '../dialect/response_verdict.js';
import type {Backend} from '../fleet/backend.js';
import type {MemoryReservation} from '../memory/memory_reservation.js';
import type {PlacementDecision} from '../placement/placement_decision.js';
import {AttemptOutcome} from './attempt_outcome.js';
import type {AttemptResult} from './attempt_result.js';
import type {ClientRequest} from './client_request.js';
import {Destination} from './destination.js';
import {EndVerdict} from './end_verdict.js';
import type {GatewayComponents} from './gateway_components.js';

const log = getLogger('request');

/** Options of a `BackendDestination`. */
export interface BackendDestinationOptions {
  readonly components: GatewayComponents;
  readonly request: ClientRequest;
  readonly decision: PlacementDecision;
  /** KV memory reserved for the request, the responding engine's first. */
  readonly reservations: readonly MemoryReservation[];
  /** Id of the last event that the client received. */
  readonly lastEventId?: string;
}

/** A backend server. */
export class BackendDestination extends Destination {
  private readonly startedMs = monotonicMs();
  /** By the clock, as backend servers state their start. */
  private readonly startedAtMs = Date.now();

  constructor(private readonly options: BackendDestinationOptions) {
    super();
  }

  createRequest(remainingMs: number): ExchangeRequest {
    const {components, request, decision, lastEventId} = this.options;
    const {req, body} = request;
    return {
      method: (req.method ?? 'GET') as ExchangeRequest['method'],
      path: req.url ?? '/',
      headers: components.dialect.writeRequest(
        endToEndHeaders(req.rawHeaders),
        {
          backendId: decision.backend.presence.id,
          remainingMs,
          workspace: request.workspace,
          lastEventId,
          helpers: this.listHelpers(),
        },
      ),
      body: body.length > 0 ? body : undefined,
    };
  }

  readHead({status, headers}: ResponseHead): AttemptResult | undefined {
    const {components, request, decision} = this.options;
    const {backend} = decision;
    const {service, id, failureDomain} = backend.presence;
    const metadata = components.dialect.readResponse(
      status,
      headers,
      request.metadata.requestId,
    );
    components.reach.recordContact(service, id, monotonicMs());
    components.backends.reachability.recordResponse(failureDomain);
    if (metadata.load) backend.recordLoad(metadata.load, monotonicMs());
    this.learnRequestLimit(metadata);
    this.learnSignals(metadata, status);
    if (metadata.verdict === ResponseVerdict.Malformed)
      this.reportMalformed(status);
    return this.checkResponse(metadata);
  }

  async verifyEnd(): Promise<EndVerdict> {
    const {processChecks, metrics} = this.options.components;
    const {backend} = this.options.decision;
    const verdict = this.judgeEnd(await processChecks.check(backend));
    metrics.countVerifiedEnd(backend.presence.service, verdict);
    return verdict;
  }

  recordNoResponse(): void {
    const {components, decision} = this.options;
    const {service, id} = decision.backend.presence;
    const {length} = components.backends.candidates(service);
    components.reach.recordFailure(service, id, length, monotonicMs());
  }

  recordConnectTimeout(): void {
    const {components, decision} = this.options;
    const {failureDomain, id} = decision.backend.presence;
    const {reachability} = components.backends;
    reachability.recordConnectTimeout(failureDomain, id, monotonicMs());
  }

  private judgeEnd({
    state,
    startedAtMs = Infinity,
  }: CheckedProcess): EndVerdict {
    switch (state) {
      case ListenerState.Listening:
        return EndVerdict.Whole;
      case ListenerState.Closed:
        return this.isLeaving() || !this.isKnown()
          ? EndVerdict.Unproven
          : EndVerdict.Broken;
      case ListenerState.Replaced:
        // This host has not heard yet of a restart before the request.
        if (startedAtMs < this.startedAtMs) return EndVerdict.Whole;
        return this.isLeaving() ? EndVerdict.Unproven : EndVerdict.Broken;
      case ListenerState.Unclear:
        return EndVerdict.Unproven;
    }
  }

  /** A server that leaves stops to listen before its last responses end. */
  private isLeaving(): boolean {
    const {departures} = this.options.components.backends;
    const {presence} = this.options.decision.backend;
    return (
      presence.state === PresenceState.Draining || departures.has(presence)
    );
  }

  /** Whether the backend server has not deregistered or been forgotten. */
  private isKnown(): boolean {
    const {backends} = this.options.components;
    return (
      backends.get(this.options.decision.backend.presence.id) !== undefined
    );
  }

  /** Lists the helpers; engines with a reservation come first, in order. */
  private listHelpers(): PrefillHelper[] {
    const {decision, reservations} = this.options;
    const reservedHelpers = reservations.map(
      ({backend, reservationId}): PrefillHelper => ({
        address: backend.presence.address,
        reservationId,
      }),
    );
    const otherHelpers = decision.helpers
      .filter(helper => !reservations.some(({backend}) => backend === helper))
      .map(({presence}) => ({address: presence.address}));
    return [...reservedHelpers, ...otherHelpers];
  }

  /** Reports a request that is a fault of this program. */
  private reportMalformed(status: number): void {
    const {components, request, decision, reservations} = this.options;
    const {service, id} = decision.backend.presence;
    components.metrics.countMalformedRequest(service, status);
    log.warn('A backend server rejected what this host has written.', {
      request: request.metadata.requestId,
      backend: id,
      status,
      helperEntries: this.listHelpers().length,
      reservations: reservations.length,
    });
  }

  /** A refusal may omit the limit, and does not end one. */
  private learnRequestLimit({
    verdict,
    requestLimitPerS,
  }: ResponseMetadata): void {
    if (!isOwnResponse(verdict)) return;
    const isRefusal = verdict !== ResponseVerdict.Valid;
    if (isRefusal && requestLimitPerS === undefined) return;
    const {components, decision} = this.options;
    components.requestLimits.learn(
      decision.backend,
      requestLimitPerS,
      this.startedMs,
    );
  }

  private learnSignals(metadata: ResponseMetadata, status: number): void {
    if (!isOwnResponse(metadata.verdict)) return;
    const {components, decision, request} = this.options;
    const {requestId} = request.metadata;
    const {backendSignals} = components;
    backendSignals.learn(decision.backend, metadata, requestId);
    if (metadata.verdict === ResponseVerdict.Valid)
      backendSignals.learnStatus(decision.backend, status, requestId);
  }

  /** Finds the helper at an address, other than the responding engine. */
  private findHelper(address: string | undefined): Backend | undefined {
    if (address === undefined) return undefined;
    const {decision} = this.options;
    return decision.work
      .map(({backend}) => backend)
      .find(
        backend =>
          backend !== decision.backend &&
          formatAddress(backend.presence.address) === address,
      );
  }

  /** Returns the result of the attempt if the response is not genuine. */
  private checkResponse(metadata: ResponseMetadata): AttemptResult | undefined {
    const {verdict} = metadata;
    const faultyHelper = this.findHelper(metadata.failedHelperAddress);
    if (faultyHelper && verdict !== ResponseVerdict.Valid) {
      faultyHelper.failures.eject(monotonicMs());
      const reason = `helper ${faultyHelper.presence.id} is at fault`;
      return {outcome: AttemptOutcome.NotRun, reason, faultyHelper};
    }
    const {failures} = this.options.decision.backend;
    switch (verdict) {
      case ResponseVerdict.Valid:
        return undefined;
      case ResponseVerdict.NotRun:
        return {
          outcome: AttemptOutcome.NotRun,
          reason: 'backend server refused',
        };
      case ResponseVerdict.Malformed:
        return {
          outcome: AttemptOutcome.NotRun,
          reason: 'backend server rejected what this host has written',
          rejectedHelperEntries: this.listHelpers().length,
        };
      case ResponseVerdict.Misdirected:
        failures.eject(monotonicMs());
        return {
          outcome: AttemptOutcome.NotRun,
          reason: 'address of another server',
        };
      case ResponseVerdict.Invalid:
        failures.eject(monotonicMs());
        return {
          outcome: AttemptOutcome.Incomplete,
          reason: 'not an answer to the request',
        };
    }
  }
}

/** Whether the backend server that was asked made the response. */
function isOwnResponse(verdict: ResponseVerdict): boolean {
  return (
    verdict === ResponseVerdict.Valid ||
    verdict === ResponseVerdict.NotRun ||
    verdict === ResponseVerdict.Malformed
  );
}
