import type {EntryPeer} from '@vanillamux/protocol';

/** A peer to which a notice is sent. */
export interface Receiver {
  readonly peer: EntryPeer;
  /** Whether the peer relays the notice within its failure domain. */
  readonly relay: boolean;
}

/**
 * Returns every peer of this host's failure domain and one peer of each other
 * domain, which relays the notice there. Traffic between failure domains is
 * expensive. A relay that is down loses only some of the notices, because the
 * relays are chosen at random for each notice.
 */
export function chooseReceivers(
  peers: readonly EntryPeer[],
  failureDomain: string,
  random: () => number,
): Receiver[] {
  const peersByDomain = new Map<string, EntryPeer[]>();
  const receivers: Receiver[] = [];
  for (const peer of peers) {
    if (peer.failureDomain === failureDomain) {
      receivers.push({peer, relay: false});
      continue;
    }
    const domainPeers = peersByDomain.get(peer.failureDomain) ?? [];
    domainPeers.push(peer);
    peersByDomain.set(peer.failureDomain, domainPeers);
  }
  for (const domainPeers of peersByDomain.values()) {
    const peer = domainPeers[Math.floor(random() * domainPeers.length)]!;
    receivers.push({peer, relay: domainPeers.length > 1});
  }
  return receivers;
}
