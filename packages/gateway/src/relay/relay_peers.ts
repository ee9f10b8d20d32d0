import {PresenceState, type EntryPeer} from '@vanillamux/protocol';
import {formatAddress} from '@vanillamux/shared';
import {Backend} from '../fleet/backend.js';
import type {PlacementDecision} from '../placement/placement_decision.js';
import {singleBackendDecision} from '../placement/single_backend_decision.js';
import type {PeerReach} from '../reach/peer_reach.js';

/** Options of `RelayPeers`. */
export interface RelayPeersOptions {
  /** Id of this entry host. */
  readonly id: string;
  readonly failureDomain: string;
  readonly peerReach: Pick<PeerReach, 'hasLost'>;
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
   * domain if there are several; an ejected one only if there is no other.
   * `isExcluded` names peers that were tried.
   */
  choose(
    service: string,
    isExcluded: (peer: Backend) => boolean,
    nowMs: number,
  ): PlacementDecision | undefined {
    const {peerReach, failureDomain} = this.options;
    const untried = [...this.peers.values()].filter(
      peer =>
        !isExcluded(peer) && !peerReach.hasLost(peer.presence.id, service),
    );
    const available = untried.filter(
      ({failures}) => !failures.isEjected(nowMs),
    );
    const usable = available.length > 0 ? available : untried;
    const rank = (peer: Backend): number =>
      2 * peer.inFlight + Number(peer.presence.failureDomain !== failureDomain);
    const lowest = Math.min(...usable.map(rank));
    const best = usable.filter(peer => rank(peer) === lowest);
    const peer = best[Math.floor(this.random() * best.length)];
    return peer && {...singleBackendDecision(peer), isRelay: true};
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
