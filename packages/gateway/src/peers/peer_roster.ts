import type {EntryPeer} from '@vanillamux/protocol';

/** Time after which the list of a control host that is not heard is stale. */
const LIST_TTL_MS = 15_000;

interface PeerList {
  peers: readonly EntryPeer[];
  receivedMs: number;
}

/**
 * The entry hosts of the deployment, as the control hosts list those that ask
 * them. A control host that has just started lists few, so the longest list of
 * those heard lately counts.
 */
export class PeerRoster {
  private readonly lists = new Map<string, PeerList>();

  /** A control host was heard; without `peers`, its list is the same. */
  update(
    controlHost: string,
    peers: readonly EntryPeer[] | undefined,
    nowMs: number,
  ): void {
    const list = this.lists.get(controlHost);
    if (list) list.receivedMs = nowMs;
    if (!peers) return;
    this.lists.set(controlHost, {peers, receivedMs: nowMs});
  }

  /** The entry hosts, this one included. */
  current(nowMs: number): readonly EntryPeer[] {
    let longest: readonly EntryPeer[] = [];
    for (const [controlHost, {peers, receivedMs: receivedMs}] of this.lists) {
      if (nowMs - receivedMs > LIST_TTL_MS) this.lists.delete(controlHost);
      else if (peers.length > longest.length) longest = peers;
    }
    return longest;
  }
}
