import {formatAddress, monotonicMs} from '@vanillamux/shared';
import type {AnswerHead} from '../connection/answer_head.js';
import type {Exchange} from '../connection/exchange.js';
import type {ExchangeFault} from '../connection/exchange_fault.js';
import type {ExchangeRequest} from '../connection/exchange_request.js';
import type {AnswerFacts} from '../dialect/answer_facts.js';
import {AnswerVerdict} from '../dialect/answer_verdict.js';
import type {EngineHelper} from '../dialect/engine_helper.js';
import {endToEndHeaders} from '../dialect/end_to_end_headers.js';
import type {Backend} from '../fleet/backend.js';
import type {MemoryReservation} from '../memory/memory_reservation.js';
import type {PlacementDecision} from '../placement/placement_decision.js';
import {AttemptEnd} from './attempt_end.js';
import type {AttemptResult} from './attempt_result.js';
import type {ClientRequest} from './client_request.js';
import type {GatewayParts} from './gateway_parts.js';
import type {PlacementClaim} from './placement_claim.js';

const FIRST_FAILURE_STATUS = 500;

/** What an attempt needs. */
export interface AttemptOptions {
  readonly parts: GatewayParts;
  readonly request: ClientRequest;
  readonly decision: PlacementDecision;
  /** Id of the last event that the client has. */
  readonly lastEventId?: string;
  /** What the placement has taken of its engines. */
  readonly claim: PlacementClaim;
  /** Memory that engines keep for the request, the answering one first. */
  readonly held: readonly MemoryReservation[];
  /** Time to the head of the answer after which it is given up. */
  readonly headTimeoutMs: number;
}

/**
 * One request at one backend server, from the first byte to the end of the
 * answer. What an answer's body is made into varies.
 */
export abstract class Attempt {
  protected readonly parts: GatewayParts;
  protected readonly request: ClientRequest;
  protected readonly decision: PlacementDecision;

  constructor(protected readonly options: AttemptOptions) {
    this.parts = options.parts;
    this.request = options.request;
    this.decision = options.decision;
  }

  /** Sends the request and takes the answer. */
  async run(): Promise<AttemptResult> {
    const {backend} = this.decision;
    const exchange = this.send();
    const onAbort = (): void => exchange.cancel('abandoned');
    this.request.signal.addEventListener('abort', onAbort, {once: true});
    try {
      return await this.follow(exchange);
    } finally {
      this.request.signal.removeEventListener('abort', onAbort);
      exchange.cancel('attempt ended');
      this.parts.metrics.noteAttempt(backend.presence.service);
    }
  }

  /** Takes the body of a genuine answer that is no failure. */
  protected abstract take(
    exchange: Exchange,
    head: AnswerHead,
  ): Promise<AttemptResult>;

  /** Reads the next bytes, or gives up after `timeoutMs` without any. */
  protected async readWithin(
    exchange: Exchange,
    timeoutMs: number,
  ): ReturnType<Exchange['read']> {
    const timer = setTimeout(
      () => exchange.cancel(`silent for ${timeoutMs} ms`),
      timeoutMs,
    );
    const result = await exchange.read();
    clearTimeout(timer);
    return result;
  }

  /** Reads the whole body. */
  protected async readAll(exchange: Exchange): Promise<Buffer | ExchangeFault> {
    const chunks: Buffer[] = [];
    for (;;) {
      const result = await exchange.read();
      if (!result.ok) return result.error;
      if (!result.value) return Buffer.concat(chunks);
      chunks.push(result.value);
    }
  }

  /** The end of an exchange without a whole answer. */
  protected broken(fault: ExchangeFault): AttemptResult {
    const {signal} = this.request;
    if (signal.aborted) {
      return {end: AttemptEnd.Abandoned, reason: String(signal.reason)};
    }
    const {failures, presence} = this.decision.backend;
    failures.eject(monotonicMs());
    if (fault.isUnreachable) {
      const {failureDomain, id} = presence;
      const {reachability: reach} = this.parts.backends;
      reach.recordConnectTimeout(failureDomain, id, monotonicMs());
    }
    const end = fault.wasSent ? AttemptEnd.Broken : AttemptEnd.NotSent;
    return {end, reason: fault.reason};
  }

  /** Engines that hold memory for the request come first, in their order. */
  private helpers(): EngineHelper[] {
    const {decision, options} = this;
    const holders = options.held.map(({backend, reservationId: ticket}) => ({
      address: backend.presence.address,
      ticket,
    }));
    const others = decision.helpers
      .filter(helper => !options.held.some(({backend}) => backend === helper))
      .map(({presence}) => ({address: presence.address}));
    return [...holders, ...others];
  }

  private send(): Exchange {
    const {request, decision, parts, options} = this;
    const {backend} = decision;
    const remainingMs = Math.max(
      1,
      Math.floor(request.deadlineMs - monotonicMs()),
    );
    const {req, body} = request;
    const exchangeRequest: ExchangeRequest = {
      method: (req.method ?? 'GET') as ExchangeRequest['method'],
      path: req.url ?? '/',
      headers: parts.dialect.writeRequest(endToEndHeaders(req.rawHeaders), {
        backendId: backend.presence.id,
        remainingMs,
        workspace: request.workspace,
        lastEventId: options.lastEventId,
        helpers: this.helpers(),
      }),
      body: body.length > 0 ? body : undefined,
    };
    return parts.connections.of(backend).send(exchangeRequest, true);
  }

  private async follow(exchange: Exchange): Promise<AttemptResult> {
    const {headTimeoutMs} = this.options;
    const timer = setTimeout(
      () => exchange.cancel(`no answer within ${headTimeoutMs} ms`),
      headTimeoutMs,
    );
    const result = await exchange.head();
    clearTimeout(timer);
    if (!result.ok) return this.broken(result.error);
    const head = result.value;
    const facts = this.parts.dialect.readAnswer(
      head.status,
      head.headers,
      this.request.facts.attemptId,
    );
    const {backend} = this.decision;
    this.parts.backends.reachability.recordResponse(
      backend.presence.failureDomain,
    );
    if (facts.load) backend.recordLoad(facts.load, monotonicMs());
    const refusal = this.refusal(facts);
    if (refusal) return refusal;
    if (head.status < FIRST_FAILURE_STATUS) return this.take(exchange, head);
    backend.failures.recordFailure(monotonicMs());
    const body = await this.readAll(exchange);
    if (!Buffer.isBuffer(body)) return this.broken(body);
    const reason = `backend server answered ${head.status}`;
    return {end: AttemptEnd.FailureAnswer, reason, failure: {head, body}};
  }

  /** The helper of an address, unless it is the answering engine itself. */
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

  /** The end of the attempt if the head is not that of a genuine answer. */
  private refusal(facts: AnswerFacts): AttemptResult | undefined {
    const {verdict} = facts;
    const faulty = this.findHelper(facts.faultAddress);
    if (faulty && verdict !== AnswerVerdict.Genuine) {
      faulty.failures.eject(monotonicMs());
      const reason = `helper ${faulty.presence.id} is at fault`;
      return {end: AttemptEnd.NotRun, reason, faulty};
    }
    const {failures} = this.decision.backend;
    switch (verdict) {
      case AnswerVerdict.Genuine:
        return undefined;
      case AnswerVerdict.NotRun:
        return {end: AttemptEnd.NotRun, reason: 'backend server refused'};
      case AnswerVerdict.Misdirected:
        failures.eject(monotonicMs());
        return {end: AttemptEnd.NotRun, reason: 'address of another server'};
      case AnswerVerdict.Foreign:
        failures.eject(monotonicMs());
        return {end: AttemptEnd.Broken, reason: 'not an answer to the request'};
    }
  }
}
