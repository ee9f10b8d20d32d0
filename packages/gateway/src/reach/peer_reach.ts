import {getLogger, monotonicMs, sleep} from '@vanillamux/shared';
import {FactSource} from '../peers/fact_source.js';
import {FactSync} from '../peers/fact_sync.js';
import type {PeerFacts} from '../peers/peer_facts.js';
import type {PeerNotices} from '../peers/peer_notices.js';
import type {ReceivedReachNotice} from './received_reach_notice.js';
import type {ServiceReach} from './service_reach.js';

/**
 * Cycles of the fact sync for which a statement counts, and for which a host
 * repeats that it reaches everything again: each notice may be lost.
 */
const STATEMENT_CYCLES = 3;
/** Shortest time for which a statement counts. */
const MIN_STATEMENT_TTL_MS = 4_000;
/**
 * Interval at which notices of peers may cast doubt on what this host reaches.
 * Many hosts that are cut off one after another would cause as many probes.
 */
const DOUBT_INTERVAL_MS = 1_000;
/** Longest random delay of that, so that not all hosts probe at once. */
const MAX_DOUBT_DELAY_MS = 200;
/** Bound of a notice. Peers learn of further services when they ask. */
const MAX_SERVICES = 64;

const log = getLogger('reach');

/** Services that a peer has lost, as it said last. */
interface Statement {
  readonly lost: ReadonlySet<string>;
  readonly heardMs: number;
}

/** Options of `PeerReach`. */
export interface PeerReachOptions {
  readonly notices: Pick<
    PeerNotices,
    'broadcastFacts' | 'reachNotices' | 'peerCount'
  >;
  /** What this host reaches. */
  readonly reach: Pick<ServiceReach, 'changes' | 'lostServices' | 'doubt'>;
  readonly now?: () => number;
}

/**
 * Tells the other entry hosts which services this one has lost, and holds what
 * they have told, so that no request is relayed to a host that is cut off too.
 * A statement counts until the peer takes it back, or has not repeated it for
 * several cycles of the fact sync.
 */
export class PeerReach extends FactSource {
  private readonly statements = new Map<string, Statement>();
  /** When a notice last cast doubt on each service. */
  private readonly doubtedMs = new Map<string, number>();
  private readonly now: () => number;
  /** A host that starts takes back what it has said before. */
  private changedMs: number;

  constructor(private readonly options: PeerReachOptions) {
    super();
    this.now = options.now ?? monotonicMs;
    this.changedMs = this.now();
    const {notices, reach} = options;
    void notices.reachNotices().observe(received => this.receive(received));
    void reach.changes().observe(() => {
      this.changedMs = this.now();
      notices.broadcastFacts(this.facts());
    });
  }

  takeFacts(): PeerFacts | undefined {
    const hasLost = this.options.reach.lostServices().length > 0;
    const isNews = this.now() - this.changedMs <= this.statementTtlMs;
    return hasLost || isNews ? this.facts() : undefined;
  }

  /** Peers that have lost a service, by their latest statements. */
  get size(): number {
    this.deleteExpired();
    return this.statements.size;
  }

  /** Whether a peer has lost a service, by its latest statement. */
  hasLost(peerId: string, service: string): boolean {
    return this.find(peerId)?.lost.has(service) ?? false;
  }

  /** Age of a peer's latest statement in milliseconds; `Infinity` for none. */
  statementAgeMs(peerId: string): number {
    return this.now() - (this.find(peerId)?.heardMs ?? -Infinity);
  }

  /** Records that a peer refused a request, as it has lost the service. */
  recordLost(peerId: string, service: string): void {
    const lost = new Set(this.find(peerId)?.lost).add(service);
    this.store(peerId, lost, 'refusal');
  }

  /** Records that a backend server of a service has answered by way of a peer. */
  recordReached(peerId: string, service: string): void {
    if (!this.hasLost(peerId, service)) return;
    const lost = new Set(this.find(peerId)?.lost);
    lost.delete(service);
    this.store(peerId, lost, 'response');
  }

  private facts(): PeerFacts {
    const lost = this.options.reach.lostServices().slice(0, MAX_SERVICES);
    return {reach: {lost}};
  }

  private receive({from, notice}: ReceivedReachNotice): void {
    this.deleteExpired();
    // What cuts off a peer may cut off this host too, which may be idle.
    for (const service of notice.lost)
      if (!this.hasLost(from, service)) this.doubtOwn(service);
    this.store(from, new Set(notice.lost), 'notice');
  }

  private doubtOwn(service: string): void {
    const nowMs = this.now();
    if (nowMs - (this.doubtedMs.get(service) ?? -Infinity) < DOUBT_INTERVAL_MS)
      return;
    this.doubtedMs.set(service, nowMs);
    const delayMs = Math.random() * MAX_DOUBT_DELAY_MS;
    void sleep(delayMs).then(() => this.options.reach.doubt(service));
  }

  private store(
    peer: string,
    lost: ReadonlySet<string>,
    source: 'notice' | 'refusal' | 'response',
  ): void {
    const before = this.find(peer);
    if (lost.size > 0) this.statements.set(peer, {lost, heardMs: this.now()});
    else this.statements.delete(peer);
    const text = [...lost].sort().join();
    if (text === [...(before?.lost ?? [])].sort().join()) return;
    log.info('The services that an entry host has lost changed.', {
      peer,
      lost: text,
      source,
      beforeAgeMs: before && Math.round(this.now() - before.heardMs),
    });
  }

  private find(peerId: string): Statement | undefined {
    const statement = this.statements.get(peerId);
    return statement && this.isCurrent(statement) ? statement : undefined;
  }

  private deleteExpired(): void {
    for (const [id, statement] of this.statements) {
      if (!this.isCurrent(statement)) this.statements.delete(id);
    }
  }

  private isCurrent({heardMs}: Statement): boolean {
    return this.now() - heardMs <= this.statementTtlMs;
  }

  private get statementTtlMs(): number {
    const cycleMs = FactSync.cycleMs(this.options.notices.peerCount);
    return Math.max(MIN_STATEMENT_TTL_MS, STATEMENT_CYCLES * cycleMs);
  }
}
