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
