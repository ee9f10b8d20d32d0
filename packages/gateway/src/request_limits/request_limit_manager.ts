import {chooseOwner} from '@vanillamux/routing';
import {
  Deferred,
  getLogger,
  monotonicMs,
  type Address,
} from '@vanillamux/shared';
import type {Backend} from '../fleet/backend.js';
import type {BackendPool} from '../fleet/backend_pool.js';
import {FactSource} from '../peers/fact_source.js';
import type {PeerFacts} from '../peers/peer_facts.js';
import type {PeerNotices} from '../peers/peer_notices.js';
import type {GatewayMetrics} from '../server/gateway_metrics.js';
import {PermitIssuer} from './permit_issuer.js';
import {PermitVerdict} from './permit_verdict.js';
import type {RequestLimitFact} from './request_limit_fact.js';
import type {RequestLimitNotice} from './request_limit_notice.js';
import {RequestLimitTable} from './request_limit_table.js';

/** Time for an owner's reply: some round trips between failure domains. */
const REPLY_TIMEOUT_MS = 50;
/** Time for which a backend server is avoided whose owner does not reply. */
const NO_OWNER_WAIT_MS = 250;
const MAX_FACTS_PER_NOTICE = 8;

const log = getLogger('limits');

/** Options of a `RequestLimitManager`. */
export interface RequestLimitManagerOptions {
  /** Id of this host. */
  readonly id: string;
  readonly notices: PeerNotices;
  readonly backends: BackendPool;
  readonly metrics: Pick<GatewayMetrics, 'countPermit'>;
  /** Returns the ids of the entry hosts; none while they are not known. */
  readonly hostIds: () => readonly string[];
}

/**
 * Keeps the requests of all entry hosts together below the limits that backend
 * servers name. Every host learns of a limit; one host, by rendezvous hash, owns
 * a limited backend server and issues the permits that each request to it
 * requires. A host that cannot reach the owner sends nothing there.
 */
export class RequestLimitManager extends FactSource {
  private readonly table = new RequestLimitTable();
  private readonly issuer = new PermitIssuer();
  /** When the next permit may be due, by backend server. */
  private readonly nextPermitMs = new WeakMap<Backend, number>();
  private readonly pending = new Map<number, Deferred<number | undefined>>();
  private nextId = 0;

  constructor(private readonly options: RequestLimitManagerOptions) {
    super();
    void options.notices
      .limitNotices()
      .observe(({replyTo, notice}) => this.receive(replyTo, notice));
    void options.backends.ended().observe(backend => {
      this.table.remove(backend);
      this.issuer.remove(backend.presence.id);
    });
  }

  takeFacts(): PeerFacts | undefined {
    const facts = this.table.takeFacts(MAX_FACTS_PER_NOTICE);
    return facts.length === 0 ? undefined : {limits: {facts}};
  }

  /** Number of backend servers that name a limit. */
  get size(): number {
    return this.table.size;
  }

  /** Whether a request to the backend server requires a permit. */
  isLimited(backend: Backend): boolean {
    return this.table.get(backend) !== undefined;
  }

  /** Time until a permit may be available, in milliseconds; 0 if it may be now. */
  waitMs(backend: Backend, nowMs: number): number {
    if (!this.isLimited(backend)) return 0;
    return Math.max(0, (this.nextPermitMs.get(backend) ?? 0) - nowMs);
  }

  /**
   * Learns the limit that a response names, `undefined` for none, to a request
   * that was sent at `sentMs` on the monotonic clock.
   */
  learn(backend: Backend, perSecond: number | undefined, sentMs: number): void {
    const before = this.table.get(backend)?.perSecond;
    const nowMs = monotonicMs();
    const fact = this.table.observe(backend, perSecond ?? null, sentMs, nowMs);
    if (!fact) return;
    this.reportChange(fact, before, 'own');
    this.options.notices.broadcastFacts({limits: {facts: [fact]}});
  }

  /**
   * Acquires a permit for each of the backend servers that is limited. Returns
   * whether all were granted; a denied one is not available until `waitMs`.
   */
  async acquire(
    requestId: string,
    backends: readonly Backend[],
  ): Promise<boolean> {
    const permits = await Promise.all(
      backends.map(backend => this.acquireOne(requestId, backend)),
    );
    return permits.every(isGranted => isGranted);
  }

  private async acquireOne(
    requestId: string,
    backend: Backend,
  ): Promise<boolean> {
    const fact = this.table.get(backend);
    if (!fact) return true;
    const owner = chooseOwner(fact.backend, this.options.hostIds());
    const waitMs = await this.askOwner(owner, fact);
    const verdict =
      waitMs === undefined
        ? PermitVerdict.TimedOut
        : waitMs > 0
          ? PermitVerdict.Denied
          : PermitVerdict.Granted;
    this.options.metrics.countPermit(verdict);
    if (verdict === PermitVerdict.Granted) return true;
    const avoidMs = waitMs ?? NO_OWNER_WAIT_MS;
    this.nextPermitMs.set(backend, monotonicMs() + avoidMs);
    log.info('No permit for a backend server with a request limit.', {
      request: requestId,
      backend: fact.backend,
      limitPerS: fact.perSecond,
      generation: fact.generation,
      owner,
      verdict,
      waitMs: avoidMs,
    });
    return false;
  }

  /**
   * Returns the time until a permit is due, 0 with a permit, or `undefined`
   * if the owner has not replied.
   */
  private async askOwner(
    owner: string | undefined,
    fact: RequestLimitFact,
  ): Promise<number | undefined> {
    if (owner === undefined) return NO_OWNER_WAIT_MS;
    if (owner === this.options.id) return this.issuer.issue(fact);
    const id = this.nextId++;
    const reply = new Deferred<number | undefined>();
    this.pending.set(id, reply);
    this.options.notices.sendFactsTo(owner, {
      limits: {permitRequest: {id, fact}},
    });
    const timer = setTimeout(() => reply.resolve(undefined), REPLY_TIMEOUT_MS);
    const waitMs = await reply.promise;
    clearTimeout(timer);
    this.pending.delete(id);
    return waitMs;
  }

  private receive(replyTo: Address, notice: RequestLimitNotice): void {
    const {facts = [], permitRequest, permitReply} = notice;
    for (const fact of facts) this.merge(fact);
    if (permitReply)
      this.pending.get(permitReply.id)?.resolve(permitReply.waitMs);
    if (!permitRequest) return;
    const {id, fact} = permitRequest;
    this.merge(fact);
    this.options.notices.replyTo(replyTo, {
      limits: {permitReply: {id, waitMs: this.issueFor(fact.backend)}},
    });
  }

  /** Issues a permit to a peer, if this host owns the backend server. */
  private issueFor(backendId: string): number {
    const {id, hostIds, backends} = this.options;
    const backend = backends.get(backendId);
    const fact = backend && this.table.get(backend);
    const isOwner = chooseOwner(backendId, hostIds()) === id;
    return fact && isOwner ? this.issuer.issue(fact) : NO_OWNER_WAIT_MS;
  }

  private merge(fact: RequestLimitFact): void {
    const backend = this.options.backends.get(fact.backend);
    if (backend?.presence.incarnation !== fact.incarnation) return;
    const before = this.table.get(backend)?.perSecond;
    if (this.table.merge(fact, monotonicMs()))
      this.reportChange(fact, before, 'peer');
  }

  private reportChange(
    {backend, incarnation, generation, perSecond}: RequestLimitFact,
    before: number | null | undefined,
    source: 'own' | 'peer',
  ): void {
    const limited = this.options.backends.get(backend);
    // The known wait was that of the limit before.
    if (limited) this.nextPermitMs.delete(limited);
    log.info('The request limit of a backend server changed.', {
      backend,
      incarnation,
      generation,
      limitPerS: perSecond,
      before,
      source,
    });
  }
}
