import {PresenceState, type EntryPeer} from '@vanillamux/protocol';
import {formatAddress, monotonicMs} from '@vanillamux/shared';
import {Backend} from '../fleet/backend.js';
import type {PlacementDecision} from '../placement/placement_decision.js';
import {singleBackendDecision} from '../placement/single_backend_decision.js';
import type {PeerReach} from '../reach/peer_reach.js';

/**
 * Age from which a peer that has lost the service is asked again if there is no
 * other. Bounds what a service that is down on all hosts costs.
 */
const ASK_AGAIN_MS = 1_000;
/** Time for which a response by way of a peer makes it worth naming to others. */
const REFERRAL_TTL_MS = 10_000;

/** What the choice of a peer depends on. */
export interface RelayQuery {
  readonly service: string;
  /** Names peers that were tried. */
  readonly isExcluded: (peer: Backend) => boolean;
  /** Id of a peer that another one has named, taken before all others. */
  readonly referral?: string;
  /** Whether a peer that has lost the service may be asked again. */
  readonly mayAskAgain: boolean;
  readonly nowMs: number;
}

/** A peer by way of which a backend server has answered. */
interface Answer {
  readonly peerId: string;
  readonly atMs: number;
}

/** Options of `RelayPeers`. */
export interface RelayPeersOptions {
  /** Id of this entry host. */
  readonly id: string;
  readonly failureDomain: string;
  readonly peerReach: Pick<
    PeerReach,
    'hasLost' | 'statementAgeMs' | 'recordLost' | 'recordReached'
  >;
  readonly random?: () => number;
}

/**
 * Chooses the entry host that relays a request for this one. Each peer is
 * treated like a backend server: failures eject it, and it counts the requests
 * of this host that it has not answered.
 */
export class RelayPeers {
  private readonly peers = new Map<string, Backend>();
  private readonly random: () => number;
  /** Latest answer of each service. */
  private readonly answers = new Map<string, Answer>();

  constructor(private readonly options: RelayPeersOptions) {
    this.random = options.random ?? Math.random;
  }

  /** Replaces the peers. Returns those that have left. */
  update(peers: readonly EntryPeer[]): Backend[] {
    const present = new Set<string>();
    for (const peer of peers) {
      if (peer.id === this.options.id) continue;
      const key = `${peer.id} ${formatAddress(peer.address)}`;
      present.add(key);
      if (!this.peers.has(key)) this.peers.set(key, createPeerBackend(peer));
    }
    const left: Backend[] = [];
    for (const [key, backend] of this.peers) {
      if (present.has(key)) continue;
      this.peers.delete(key);
      left.push(backend);
    }
    return left;
  }

  /**
   * Chooses the peer with the fewest requests of this host, in its failure
   * domain if there are several; an ejected one only if there is no other, and
   * one that has lost the service only if all have.
   */
  choose(query: RelayQuery): PlacementDecision | undefined {
    const untried = [...this.peers.values()].filter(
      peer => !query.isExcluded(peer),
    );
    const peer =
      untried.find(({presence}) => presence.id === query.referral) ??
      this.chooseReaching(untried, query) ??
      (query.mayAskAgain ? this.chooseToAskAgain(untried) : undefined);
    return peer && {...singleBackendDecision(peer), isRelay: true};
  }

  /** Records that a backend server of a service has answered by way of a peer. */
  recordAnswer({presence}: Backend, service: string): void {
    this.answers.set(service, {peerId: presence.id, atMs: monotonicMs()});
    this.options.peerReach.recordReached(presence.id, service);
  }

  /** Records that a peer has refused a request, as it has lost the service. */
  recordLost({presence}: Backend, service: string): void {
    this.options.peerReach.recordLost(presence.id, service);
    if (this.answers.get(service)?.peerId === presence.id)
      this.answers.delete(service);
  }

  /** Returns the id of a peer, other than `askingId`, that reaches a service. */
  referral(service: string, askingId: string): string | undefined {
    const answer = this.answers.get(service);
    if (!answer || answer.peerId === askingId) return undefined;
    const isRecent = monotonicMs() - answer.atMs <= REFERRAL_TTL_MS;
    const hasLost = this.options.peerReach.hasLost(answer.peerId, service);
    return isRecent && !hasLost ? answer.peerId : undefined;
  }

  private chooseReaching(
    untried: readonly Backend[],
    {service, nowMs}: RelayQuery,
  ): Backend | undefined {
    const {peerReach, failureDomain} = this.options;
    const reaching = untried.filter(
      ({presence}) => !peerReach.hasLost(presence.id, service),
    );
    const available = reaching.filter(
      ({failures}) => !failures.isEjected(nowMs),
    );
    const usable = available.length > 0 ? available : reaching;
    const rank = (peer: Backend): number =>
      2 * peer.inFlight + Number(peer.presence.failureDomain !== failureDomain);
    const lowest = Math.min(...usable.map(rank));
    const best = usable.filter(peer => rank(peer) === lowest);
    return best[Math.floor(this.random() * best.length)];
  }

  /** Chooses the peer that has said longest ago that it has lost the service. */
  private chooseToAskAgain(untried: readonly Backend[]): Backend | undefined {
    const ageMs = ({presence}: Backend): number =>
      this.options.peerReach.statementAgeMs(presence.id);
    return untried
      .filter(peer => ageMs(peer) >= ASK_AGAIN_MS)
      .sort((a, b) => ageMs(b) - ageMs(a))[0];
  }
}

function createPeerBackend({id, address, failureDomain}: EntryPeer): Backend {
  return new Backend({
    id,
    address,
    failureDomain,
    service: 'entry',
    incarnation: 0,
    sequence: 0,
    capacity: 0,
    state: PresenceState.Ready,
  });
}
