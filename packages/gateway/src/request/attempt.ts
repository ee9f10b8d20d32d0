import {hasBody, monotonicMs} from '@vanillamux/shared';
import type {ByteHold} from '../bytes/byte_hold.js';
import type {ResponseHead} from '../connection/response_head.js';
import type {Exchange} from '../connection/exchange.js';
import {ExchangeError} from '../connection/exchange_error.js';
import {isFramed} from '../connection/is_framed.js';
import type {PlacementDecision} from '../placement/placement_decision.js';
import {AttemptOutcome} from './attempt_outcome.js';
import type {AttemptResult} from './attempt_result.js';
import {UNPROVEN_END} from './unproven_end.js';
import {createAbortedResult} from './create_aborted_result.js';
import type {ClientRequest} from './client_request.js';
import {createBrokenOffError} from './create_broken_off_error.js';
import type {Destination} from './destination.js';
import {EndVerdict} from './end_verdict.js';
import type {GatewayComponents} from './gateway_components.js';
import type {PlacementClaim} from './placement_claim.js';
import type {ReceivedBody} from './received_body.js';
import type {ResponseWriter} from './response_writer.js';

const MIN_SERVER_ERROR_STATUS = 500;

/** Options of an `Attempt`. */
export interface AttemptOptions {
  readonly components: GatewayComponents;
  readonly request: ClientRequest;
  readonly decision: PlacementDecision;
  readonly destination: Destination;
  /** Work of this attempt in the ledgers of its engines. */
  readonly claim: PlacementClaim;
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
 * Sends a request to one destination and receives the response. Subclasses
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
    this.recordSilence();
    this.options.onSilent(`silent for ${Math.round(timeoutMs)} ms`);
  }

  /** A cold backend server is slow: its silence is no sign of a fault. */
  private recordSilence(): void {
    const {cold, failures} = this.decision.backend;
    if (cold.isCold(monotonicMs())) return;
    if (!this.hasResponded) this.options.destination.recordNoResponse();
    failures.recordSilence(monotonicMs());
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
    const body = await this.readBody(exchange, head);
    if (body instanceof ExchangeError) return this.handleExchangeError(body);
    const {signal} = this.options;
    if (signal.aborted) return createAbortedResult(signal);
    if (!body.isProvenWhole)
      return {...UNPROVEN_END, unprovenResponse: {head, body}};
    this.options.onProgress();
    this.decision.backend.failures.recordSuccess(monotonicMs());
    writer.writeComplete(head, body);
    return {outcome: AttemptOutcome.Completed, reason: `status ${head.status}`};
  }

  /**
   * Reads the complete body. Its bytes count until the response to the client
   * was handed over, or the attempt fails.
   */
  protected async readBody(
    exchange: Exchange,
    head: ResponseHead,
  ): Promise<ReceivedBody | ExchangeError> {
    const {responseBytes} = this.components;
    const hold = responseBytes.open(this.decision.backend.presence.id);
    // Also called if the client leaves before the body is known to be whole.
    this.request.onRelease(() => hold.release());
    const bytes = await this.readHeldBody(exchange, hold);
    const verdict = Buffer.isBuffer(bytes)
      ? await this.verifyEnd(head)
      : EndVerdict.Broken;
    if (Buffer.isBuffer(bytes) && verdict !== EndVerdict.Broken)
      return {bytes, isProvenWhole: verdict === EndVerdict.Whole};
    hold.release();
    return Buffer.isBuffer(bytes) ? createBrokenOffError() : bytes;
  }

  /** Finds out whether a body is whole whose connection has ended in order. */
  protected async verifyEnd(head: ResponseHead): Promise<EndVerdict> {
    if (isFramed(head) || !hasBody(this.request.req.method, head.status))
      return EndVerdict.Whole;
    return this.options.destination.verifyEnd();
  }

  private async readHeldBody(
    exchange: Exchange,
    hold: ByteHold,
  ): Promise<Buffer | ExchangeError> {
    exchange.limitBody();
    const chunks: Buffer[] = [];
    for (;;) {
      this.expectProgress(this.options.responseHeadTimeoutMs);
      const result = await exchange.read();
      if (!result.ok) return result.error;
      this.recordBytes();
      if (!result.value) return Buffer.concat(chunks);
      if (!hold.add(result.value.length)) {
        const reason = 'no room for the body beside those of other responses';
        exchange.cancel(reason);
        return new ExchangeError(true, reason);
      }
      chunks.push(result.value);
    }
  }

  /** Reports a failed exchange to the trackers and returns the result. */
  protected handleExchangeError(error: ExchangeError): AttemptResult {
    const {signal} = this.options;
    if (signal.aborted) return createAbortedResult(signal);
    const {destination} = this.options;
    this.decision.backend.failures.eject(monotonicMs());
    const hasContact = this.hasResponded || error.hasAnswered;
    if (!hasContact) destination.recordNoResponse();
    if (error.isConnectTimeout) destination.recordConnectTimeout();
    const outcome = error.mayHaveBeenSent
      ? AttemptOutcome.Incomplete
      : AttemptOutcome.NotSent;
    return {
      outcome,
      reason: error.reason,
      isDisconnected: error.mayHaveBeenSent && error.isDisconnect,
    };
  }

  private sendRequest(): Exchange {
    const {request, decision, components} = this;
    const remainingMs = Math.max(
      1,
      Math.floor(request.deadlineMs - monotonicMs()),
    );
    return components.connections
      .poolFor(decision.backend)
      .send(this.options.destination.createRequest(remainingMs), true);
  }

  private async receiveResponse(exchange: Exchange): Promise<AttemptResult> {
    this.expectProgress(this.options.responseHeadTimeoutMs);
    const result = await exchange.head();
    if (!result.ok) return this.handleExchangeError(result.error);
    this.recordBytes();
    this.hasResponded = true;
    const head = result.value;
    const rejection = this.options.destination.readHead(head);
    if (rejection) return rejection;
    if (head.status < MIN_SERVER_ERROR_STATUS)
      return this.forwardResponse(exchange, head);
    this.decision.backend.failures.recordFailure(monotonicMs());
    const body = await this.readBody(exchange, head);
    if (body instanceof ExchangeError) return this.handleExchangeError(body);
    const reason = `backend server answered ${head.status}`;
    return {
      outcome: AttemptOutcome.FailureResponse,
      reason,
      failureResponse: {head, body},
    };
  }
}
