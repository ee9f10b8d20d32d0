import type {EntryPeer} from '@vanillamux/protocol';

/** A peer that is told of a placement. */
export interface Receiver {
  readonly peer: EntryPeer;
  /** Whether it tells the other hosts of its failure domain. */
  readonly relay: boolean;
}

/**
 * Every peer of the own failure domain and one of each other domain, which
 * tells the rest there. Bytes between failure domains are dear; a relay that is
 * down costs some notices only, because each notice draws its relays anew.
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
