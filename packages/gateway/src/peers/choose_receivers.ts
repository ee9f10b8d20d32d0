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
  draw: () => number,
): Receiver[] {
  const remote = new Map<string, EntryPeer[]>();
  const receivers: Receiver[] = [];
  for (const peer of peers) {
    if (peer.failureDomain === failureDomain) {
      receivers.push({peer, relay: false});
      continue;
    }
    const domain = remote.get(peer.failureDomain) ?? [];
    domain.push(peer);
    remote.set(peer.failureDomain, domain);
  }
  for (const domain of remote.values()) {
    const peer = domain[Math.floor(draw() * domain.length)]!;
    receivers.push({peer, relay: domain.length > 1});
  }
  return receivers;
}
