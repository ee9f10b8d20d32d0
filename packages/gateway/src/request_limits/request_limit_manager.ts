import {chooseOwner} from '@vanillamux/routing';
import {getLogger, monotonicMs, type Address} from '@vanillamux/shared';
import type {ColdBackends} from '../cold_backends/cold_backends.js';
import type {Backend} from '../fleet/backend.js';
import type {BackendPool} from '../fleet/backend_pool.js';
import {FactSource} from '../peers/fact_source.js';
import type {PeerFacts} from '../peers/peer_facts.js';
import type {PeerNotices} from '../peers/peer_notices.js';
import type {GatewayMetrics} from '../server/gateway_metrics.js';
import {PermitClient} from './permit_client.js';
import {PermitIssuer} from './permit_issuer.js';
import type {PermitRate} from './permit_rate.js';
import {PermitVerdict} from './permit_verdict.js';
import type {RequestLimitFact} from './request_limit_fact.js';
import type {RequestLimitNotice} from './request_limit_notice.js';
import {RequestLimitTable} from './request_limit_table.js';

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
  /** Backend servers that require permits while they are cold. */
  readonly cold?: Pick<
    ColdBackends,
    'deputyRate' | 'factOf' | 'merge' | 'permitRate'
  >;
  /** Returns the ids of the entry hosts; none while they are not known. */
  readonly hostIds: () => readonly string[];
  /** Clock of the permits that this host issues. */
  readonly now?: () => number;
}

/**
 * Keeps the requests of all entry hosts together below the limits that backend
 * servers name, and below what cold ones stand. Every host learns of a limit;
 * one host, by rendezvous hash, owns such a backend server and issues the permits
 * that each request to it requires. A host that cannot reach the owner sends
 * nothing there, unless the server is cold: then the host that comes second by
 * the same hash issues a few permits as a deputy, so that the end of one entry
 * host does not idle the server.
 */
export class RequestLimitManager extends FactSource {
  private readonly table = new RequestLimitTable();
  private readonly issuer: PermitIssuer;
  /** When the next permit may be due, by backend server. */
  private readonly nextPermitMs = new WeakMap<Backend, number>();
  private readonly client: PermitClient;

  constructor(private readonly options: RequestLimitManagerOptions) {
    super();
    this.issuer = new PermitIssuer(options.now);
    this.client = new PermitClient(options.notices);
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

  /** Whether the backend server names a limit. */
  isLimited(backend: Backend): boolean {
    return this.table.get(backend) !== undefined;
  }

  /** Whether a request to the backend server requires a permit. */
  requiresPermit(backend: Backend): boolean {
    const {cold} = this.options;
    return this.isLimited(backend) || cold?.permitRate(backend) !== undefined;
  }

  /** Time until a permit may be available, in milliseconds; 0 if it may be now. */
  waitMs(backend: Backend, nowMs: number): number {
    if (!this.requiresPermit(backend)) return 0;
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
   * Acquires a permit for each of the backend servers that requires one. Returns
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
    if (!this.requiresPermit(backend)) return true;
    const {id} = backend.presence;
    const fact = this.table.get(backend);
    const owner = chooseOwner(id, this.options.hostIds());
    const ownerWaitMs = await this.askIssuer(owner, backend);
    const deputy =
      ownerWaitMs === undefined ? this.deputyOf(backend, owner) : undefined;
    const waitMs =
      deputy === undefined
        ? ownerWaitMs
        : await this.askIssuer(deputy, backend);
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
      backend: id,
      limitPerS: fact?.perSecond,
      generation: fact?.generation,
      coldForMs: Math.round(backend.cold.leftMs(monotonicMs())),
      owner,
      deputy,
      verdict,
      waitMs: avoidMs,
    });
    return false;
  }

  /**
   * Chooses the host that issues permits for a cold backend server while the
   * owner does not reply; none if what the bound leaves is less than a permit.
   */
  private deputyOf(
    backend: Backend,
    owner: string | undefined,
  ): string | undefined {
    const {hostIds, cold} = this.options;
    if (this.isLimited(backend) || !cold?.deputyRate(backend)) return undefined;
    const others = hostIds().filter(hostId => hostId !== owner);
    return chooseOwner(backend.presence.id, others);
  }

  /**
   * Returns the time until a permit is due, 0 with a permit, or `undefined`
   * if the owner or deputy has not replied.
   */
  private async askIssuer(
    issuer: string | undefined,
    backend: Backend,
  ): Promise<number | undefined> {
    const {id: ownId, cold} = this.options;
    if (issuer === undefined) return NO_OWNER_WAIT_MS;
    if (issuer === ownId) return this.issue(backend);
    const limit = this.table.get(backend);
    const coldFact = cold?.permitRate(backend) && cold.factOf(backend);
    return this.client.ask(issuer, id => {
      if (coldFact) return {coldPermitRequest: {id, cold: coldFact, limit}};
      return {permitRequest: limit && {id, fact: limit}};
    });
  }

  private receive(replyTo: Address, notice: RequestLimitNotice): void {
    const {facts = [], permitRequest, coldPermitRequest, permitReply} = notice;
    for (const fact of facts) this.merge(fact);
    if (permitReply) this.client.receive(permitReply);
    if (permitRequest) {
      this.merge(permitRequest.fact);
      this.reply(replyTo, permitRequest.id, permitRequest.fact.backend);
    }
    if (coldPermitRequest) {
      const {id, cold, limit} = coldPermitRequest;
      if (limit) this.merge(limit);
      this.options.cold?.merge(cold);
      this.reply(replyTo, id, cold.backend);
    }
  }

  private reply(replyTo: Address, id: number, backendId: string): void {
    this.options.notices.replyTo(replyTo, {
      limits: {permitReply: {id, waitMs: this.issueFor(backendId)}},
    });
  }

  /** Issues a permit to a peer. */
  private issueFor(backendId: string): number {
    const backend = this.options.backends.get(backendId);
    return backend ? this.issue(backend) : NO_OWNER_WAIT_MS;
  }

  /**
   * Issues a permit, if this host is the owner or the deputy; none for a backend
   * server that requires none.
   */
  private issue(backend: Backend): number {
    const {id: ownId, hostIds, cold} = this.options;
    const owner = chooseOwner(backend.presence.id, hostIds());
    if (owner === ownId)
      return this.issueAt(backend, cold?.permitRate(backend));
    return this.deputyOf(backend, owner) === ownId
      ? this.issueAt(backend, cold?.deputyRate(backend))
      : NO_OWNER_WAIT_MS;
  }

  private issueAt(backend: Backend, coldRate: PermitRate | undefined): number {
    const fact = this.table.get(backend);
    if (fact) return this.issuer.issue(fact, coldRate);
    if (coldRate) return this.issuer.issueAt(backend.presence.id, coldRate);
    return NO_OWNER_WAIT_MS;
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
