import {monotonicMs} from '@vanillamux/shared';
import type {ExchangeRequest} from '../connection/exchange_request.js';
import {ListenerState} from '../connection/listener_state.js';
import type {ResponseHead} from '../connection/response_head.js';
import {endToEndHeaders} from '../dialect/end_to_end_headers.js';
import {readRetryAfterMs} from '../dialect/read_retry_after_ms.js';
import {ResponseVerdict} from '../dialect/response_verdict.js';
import type {PlacementDecision} from '../placement/placement_decision.js';
import {AttemptOutcome} from '../request/attempt_outcome.js';
import type {AttemptResult} from '../request/attempt_result.js';
import type {ClientRequest} from '../request/client_request.js';
import {Destination} from '../request/destination.js';
import {EndVerdict} from '../request/end_verdict.js';
import type {GatewayComponents} from '../request/gateway_components.js';
import {readRelayRefusal} from './read_relay_refusal.js';
import {RelayHeader} from './relay_header.js';
import {RelayOutcome} from './relay_outcome.js';
import {formatRelaySource} from './relay_source.js';

/** Options of a `PeerDestination`. */
export interface PeerDestinationOptions {
  readonly components: Pick<
    GatewayComponents,
    'dialect' | 'relayPeers' | 'connections'
  >;
  /** Id of this entry host. */
  readonly hostId: string;
  readonly request: ClientRequest;
  readonly decision: PlacementDecision;
  /** Id of the last event that the client received. */
  readonly lastEventId?: string;
}

/** An entry host that sends the request to a backend server of its choice. */
export class PeerDestination extends Destination {
  constructor(private readonly options: PeerDestinationOptions) {
    super();
  }

  createRequest(remainingMs: number): ExchangeRequest {
    const {components, hostId, request, lastEventId} = this.options;
    const {req, body, configVersion} = request;
    return {
      method: (req.method ?? 'GET') as ExchangeRequest['method'],
      path: req.url ?? '/',
      headers: [
        ...components.dialect.writeRelayedRequest(
          endToEndHeaders(req.rawHeaders),
          {remainingMs, lastEventId},
        ),
        RelayHeader.Request,
        formatRelaySource({from: hostId, configVersion}),
      ],
      body: body.length > 0 ? body : undefined,
    };
  }

  readHead({status, headers}: ResponseHead): AttemptResult | undefined {
    const {components, request, decision} = this.options;
    const {failures, presence} = decision.backend;
    const {name: service} = request.service;
    const {hasLostService, referral} = readRelayRefusal(headers);
    const reason = hasLostService
      ? `entry host ${presence.id} does not reach the service either`
      : `entry host ${presence.id} answered ${status}`;
    if (hasLostService)
      components.relayPeers.recordLost(decision.backend, service);
    const retryAfterMs = readRetryAfterMs(headers['retry-after']);
    switch (headers[RelayHeader.Outcome]) {
      case RelayOutcome.NotSent:
        if (!hasLostService) failures.eject(monotonicMs());
        return {
          outcome: AttemptOutcome.NotSent,
          reason,
          retryAfterMs,
          hasLostService,
          referral,
        };
      case RelayOutcome.NotRun:
        return {
          outcome: AttemptOutcome.NotRun,
          reason,
          retryAfterMs,
          hasLostService,
          referral,
        };
      case RelayOutcome.Failed:
        return {outcome: AttemptOutcome.Incomplete, reason};
      case RelayOutcome.Invalid:
        return undefined;
    }
    const {verdict} = components.dialect.readResponse(
      status,
      headers,
      request.metadata.requestId,
    );
    if (verdict === ResponseVerdict.Valid) {
      components.relayPeers.recordAnswer(decision.backend, service);
      return undefined;
    }
    failures.eject(monotonicMs());
    return {outcome: AttemptOutcome.Incomplete, reason: 'not a valid response'};
  }

  /**
   * A peer gives a length to the bodies that it has found to be whole; one of an
   * earlier build gives none to any. Without one, a part is all that a peer which
   * was killed has sent.
   */
  async verifyEnd(): Promise<EndVerdict> {
    const {components, decision} = this.options;
    const state = await components.connections.listenerState(decision.backend);
    return state === ListenerState.Closed
      ? EndVerdict.Broken
      : EndVerdict.Unproven;
  }

  /** The peer is ejected; it says nothing of backend servers. */
  recordNoResponse(): void {}

  /** The peer is ejected; it says nothing of its failure domain. */
  recordConnectTimeout(): void {}
}
