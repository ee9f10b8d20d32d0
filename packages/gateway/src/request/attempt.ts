import {formatAddress, monotonicMs} from '@vanillamux/shared';
import type {ResponseHead} from '../connection/response_head.js';
import type {Exchange} from '../connection/exchange.js';
import type {ExchangeError} from '../connection/exchange_error.js';
import type {ExchangeRequest} from '../connection/exchange_request.js';
import type {ResponseMetadata} from '../dialect/response_metadata.js';
import {ResponseVerdict} from '../dialect/response_verdict.js';
import type {PrefillHelper} from '../dialect/prefill_helper.js';
import {endToEndHeaders} from '../dialect/end_to_end_headers.js';
import type {Backend} from '../fleet/backend.js';
import type {MemoryReservation} from '../memory/memory_reservation.js';
import type {PlacementDecision} from '../placement/placement_decision.js';
import {AttemptOutcome} from './attempt_outcome.js';
import type {AttemptResult} from './attempt_result.js';
import {createAbortedResult} from './create_aborted_result.js';
import type {ClientRequest} from './client_request.js';
import type {GatewayComponents} from './gateway_components.js';
import type {PlacementClaim} from './placement_claim.js';
import type {ResponseWriter} from './response_writer.js';

const MIN_SERVER_ERROR_STATUS = 500;

/** Options of an `Attempt`. */
export interface AttemptOptions {
  readonly components: GatewayComponents;
  readonly request: ClientRequest;
  readonly decision: PlacementDecision;
  /** Id of the last event that the client received. */
  readonly lastEventId?: string;
  /** Work of this attempt in the ledgers of its engines. */
  readonly claim: PlacementClaim;
  /** KV memory reserved for the request, the responding engine's first. */
  readonly reservations: readonly MemoryReservation[];
  /** Time to the response head, or first event, before `onSilent` is called. */
  readonly responseHeadTimeoutMs: number;
  /** Ends the attempt; the reason is an `AbortReason`. */
  readonly signal: AbortSignal;
  /**
   * Called when nothing has arrived for the timeout. The attempt goes on: the
   * backend server may be sound and continue.
   */
  readonly onSilent: (reason: string) => void;
  /**
   * Called before bytes are forwarded to the client. From then on no other
   * attempt of the request may forward any.
   */
  readonly onProgress: () => void;
}

/**
 * Sends a request to one backend server and receives the response. Subclasses
 * decide how the body is forwarded to the client.
 */
export abstract class Attempt {
  protected readonly components: GatewayComponents;
  protected readonly request: ClientRequest;
  protected readonly decision: PlacementDecision;
  private readonly startedMs = monotonicMs();
  private silenceTimer?: NodeJS.Timeout;
  private isSilent = false;
  private hasResponded = false;

  constructor(protected readonly options: AttemptOptions) {
    this.components = options.components;
    this.request = options.request;
    this.decision = options.decision;
  }

  /** Sends the request and receives the response. */
  async run(): Promise<AttemptResult> {
    const {backend} = this.decision;
    const {signal} = this.options;
    const exchange = this.sendRequest();
    const onAbort = (): void => exchange.cancel('abandoned');
    signal.addEventListener('abort', onAbort, {once: true});
    try {
      return await this.receiveResponse(exchange);
    } finally {
      signal.removeEventListener('abort', onAbort);
      this.stopWaiting();
      exchange.cancel('attempt ended');
      this.components.metrics.countAttempt(backend.presence.service);
    }
  }

  /** Forwards a genuine response whose status is below 500. */
  protected abstract forwardResponse(
    exchange: Exchange,
    head: ResponseHead,
  ): Promise<AttemptResult>;

  /** Reports the backend server as silent unless progress follows in time. */
  protected expectProgress(timeoutMs: number): void {
    this.stopWaiting();
    const timer = setTimeout(() => {
      // Bytes that arrived while this host was busy are read first.
      setImmediate(() => {
        if (this.silenceTimer === timer) this.reportSilence(timeoutMs);
      });
    }, timeoutMs);
    this.silenceTimer = timer;
  }

  private reportSilence(timeoutMs: number): void {
    this.isSilent = true;
    if (!this.hasResponded) this.recordLostContact();
    this.decision.backend.failures.recordSilence(monotonicMs());
    this.options.onSilent(`silent for ${Math.round(timeoutMs)} ms`);
  }

  /** Records bytes of the backend server, which end a silence. */
  protected recordBytes(): void {
    this.stopWaiting();
    if (!this.isSilent) return;
    this.isSilent = false;
    this.decision.backend.failures.recordProgress();
  }

  /** Ends the watch for progress, as while the client reads slowly. */
  protected stopWaiting(): void {
    clearTimeout(this.silenceTimer);
    this.silenceTimer = undefined;
  }

  /** Forwards a response once its body is complete. */
  protected async forwardWhole(
    exchange: Exchange,
    head: ResponseHead,
    writer: ResponseWriter,
  ): Promise<AttemptResult> {
    const body = await this.readBody(exchange);
    if (!Buffer.isBuffer(body)) return this.handleExchangeError(body);
    const {signal} = this.options;
    if (signal.aborted) return createAbortedResult(signal);
    this.options.onProgress();
    this.decision.backend.failures.recordSuccess(monotonicMs());
    writer.writeComplete(head, body);
    return {outcome: AttemptOutcome.Completed, reason: `status ${head.status}`};
  }

  /** Reads the complete body. */
  protected async readBody(
    exchange: Exchange,
  ): Promise<Buffer | ExchangeError> {
    exchange.limitBody();
    const chunks: Buffer[] = [];
    for (;;) {
      this.expectProgress(this.options.responseHeadTimeoutMs);
      const result = await exchange.read();
      if (!result.ok) return result.error;
      this.recordBytes();
      if (!result.value) return Buffer.concat(chunks);
      chunks.push(result.value);
    }
  }

  /** Reports a failed exchange to the trackers and returns the result. */
  protected handleExchangeError(error: ExchangeError): AttemptResult {
    const {signal} = this.options;
    if (signal.aborted) return createAbortedResult(signal);
    const {failures, presence} = this.decision.backend;
    failures.eject(monotonicMs());
    if (!this.hasResponded) this.recordLostContact();
    if (error.isConnectTimeout) {
      const {failureDomain, id} = presence;
      const {reachability: reach} = this.components.backends;
      reach.recordConnectTimeout(failureDomain, id, monotonicMs());
    }
    const outcome = error.mayHaveBeenSent
      ? AttemptOutcome.Incomplete
      : AttemptOutcome.NotSent;
    return {
      outcome,
      reason: error.reason,
      isDisconnected: error.mayHaveBeenSent && error.isDisconnect,
    };
  }

  private recordLostContact(): void {
    const {service, id} = this.decision.backend.presence;
    const {reach, backends} = this.components;
    const {length} = backends.candidates(service);
    reach.recordFailure(service, id, length, monotonicMs());
  }

  /** Lists the helpers; engines with a reservation come first, in order. */
  private listHelpers(): PrefillHelper[] {
    const {decision, options} = this;
    const reservedHelpers = options.reservations.map(
      ({backend, reservationId}): PrefillHelper => ({
        address: backend.presence.address,
        reservationId,
      }),
    );
    const otherHelpers = decision.helpers
      .filter(
        helper => !options.reservations.some(({backend}) => backend === helper),
      )
      .map(({presence}) => ({address: presence.address}));
    return [...reservedHelpers, ...otherHelpers];
  }

  private sendRequest(): Exchange {
    const {request, decision, components, options} = this;
    const {backend} = decision;
    const remainingMs = Math.max(
      1,
      Math.floor(request.deadlineMs - monotonicMs()),
    );
    const {req, body} = request;
    const exchangeRequest: ExchangeRequest = {
      method: (req.method ?? 'GET') as ExchangeRequest['method'],
      path: req.url ?? '/',
      headers: components.dialect.writeRequest(
        endToEndHeaders(req.rawHeaders),
        {
          backendId: backend.presence.id,
          remainingMs,
          workspace: request.workspace,
          lastEventId: options.lastEventId,
          helpers: this.listHelpers(),
        },
      ),
      body: body.length > 0 ? body : undefined,
    };
    return components.connections.poolFor(backend).send(exchangeRequest, true);
  }

  private async receiveResponse(exchange: Exchange): Promise<AttemptResult> {
    this.expectProgress(this.options.responseHeadTimeoutMs);
    const result = await exchange.head();
    if (!result.ok) return this.handleExchangeError(result.error);
    this.recordBytes();
    const head = result.value;
    const metadata = this.components.dialect.readResponse(
      head.status,
      head.headers,
      this.request.metadata.requestId,
    );
    const {backend} = this.decision;
    const {service, id, failureDomain} = backend.presence;
    this.hasResponded = true;
    this.components.reach.recordContact(service, id, monotonicMs());
    this.components.backends.reachability.recordResponse(failureDomain);
    if (metadata.load) backend.recordLoad(metadata.load, monotonicMs());
    this.learnRequestLimit(metadata);
    const rejection = this.checkResponse(metadata);
    if (rejection) return rejection;
    if (head.status < MIN_SERVER_ERROR_STATUS)
      return this.forwardResponse(exchange, head);
    backend.failures.recordFailure(monotonicMs());
    const body = await this.readBody(exchange);
    if (!Buffer.isBuffer(body)) return this.handleExchangeError(body);
    const reason = `backend server answered ${head.status}`;
    return {
      outcome: AttemptOutcome.FailureResponse,
      reason,
      failureResponse: {head, body},
    };
  }

  /** A refusal may omit the limit, and does not end one. */
  private learnRequestLimit({
    verdict,
    requestLimitPerS,
  }: ResponseMetadata): void {
    const isRefusal = verdict === ResponseVerdict.NotRun;
    if (verdict !== ResponseVerdict.Valid && !isRefusal) return;
    if (isRefusal && requestLimitPerS === undefined) return;
    this.components.requestLimits.learn(
      this.decision.backend,
      requestLimitPerS,
      this.startedMs,
    );
  }

  /** Finds the helper at an address, other than the responding engine. */
  private findHelper(address: string | undefined): Backend | undefined {
    if (address === undefined) return undefined;
    return this.decision.work
      .map(({backend}) => backend)
      .find(
        backend =>
          backend !== this.decision.backend &&
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
    const {failures} = this.decision.backend;
    switch (verdict) {
      case ResponseVerdict.Valid:
        return undefined;
      case ResponseVerdict.NotRun:
        return {
          outcome: AttemptOutcome.NotRun,
          reason: 'backend server refused',
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
