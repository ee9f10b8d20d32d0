import {monotonicMs} from '@vanillamux/shared';
import {FactSource} from '../peers/fact_source.js';
import type {PeerFacts} from '../peers/peer_facts.js';
import type {PeerNotices} from '../peers/peer_notices.js';
import type {ReceivedReachNotice} from './received_reach_notice.js';
import type {ServiceReach} from './service_reach.js';

/**
 * Time for which a notice counts, some intervals of the fact sync. A host that
 * is not heard again is taken to reach everything: it refuses what it can't
 * serve.
 */
const NOTICE_TTL_MS = 4_000;

interface PeerState {
  readonly lost: ReadonlySet<string>;
  readonly untilMs: number;
}

/** Options of `PeerReach`. */
export interface PeerReachOptions {
  readonly notices: PeerNotices;
  /** What this host reaches. */
  readonly reach: ServiceReach;
}

/**
 * Tells the other entry hosts which services this one has lost, and holds what
 * they have told, so that no request is relayed to a host that is cut off too.
 */
export class PeerReach extends FactSource {
  private readonly peers = new Map<string, PeerState>();

  constructor(private readonly options: PeerReachOptions) {
    super();
    const {notices, reach} = options;
    void notices.reachNotices().observe(received => this.receive(received));
    void reach.changes().observe(() => notices.broadcastFacts(this.facts()));
  }

  takeFacts(): PeerFacts | undefined {
    const hasLost = this.options.reach.lostServices().length > 0;
    return hasLost ? this.facts() : undefined;
  }

  /** Whether a peer has lost a service, by its latest notice. */
  hasLost(peerId: string, service: string, nowMs: number): boolean {
    const state = this.peers.get(peerId);
    if (!state) return false;
    if (nowMs <= state.untilMs) return state.lost.has(service);
    this.peers.delete(peerId);
    return false;
  }

  private facts(): PeerFacts {
    return {reach: {lost: this.options.reach.lostServices()}};
  }

  private receive({from, notice}: ReceivedReachNotice): void {
    if (notice.lost.length === 0) {
      this.peers.delete(from);
      return;
    }
    const nowMs = monotonicMs();
    for (const [id, state] of this.peers) {
      if (nowMs > state.untilMs) this.peers.delete(id);
    }
    const untilMs = nowMs + NOTICE_TTL_MS;
    this.peers.set(from, {lost: new Set(notice.lost), untilMs});
  }
}
