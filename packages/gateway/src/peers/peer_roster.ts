import type {EntryPeer} from '@vanillamux/protocol';

/** Time after a control host's last response at which its list is dropped. */
const LIST_TTL_MS = 15_000;

interface PeerList {
  peers: readonly EntryPeer[];
  receivedMs: number;
}

/**
 * Tracks the entry hosts of the deployment. Each control host lists the entry
 * hosts that poll it. A control host that has just started lists few, so the
 * longest of the recent lists is used. While no control host responds, the last
 * one stays: a host that assumed that it were alone would use up what all share.
 */
export class PeerRoster {
  private readonly lists = new Map<string, PeerList>();
  private lastKnown: readonly EntryPeer[] = [];

  /** Handles a response of a control host; no `peers` means no change. */
  update(
    controlHost: string,
    peers: readonly EntryPeer[] | undefined,
    nowMs: number,
  ): void {
    const list = this.lists.get(controlHost);
    if (list) list.receivedMs = nowMs;
    if (!peers) return;
    if (peers.length > 0) this.lastKnown = peers;
    this.lists.set(controlHost, {peers, receivedMs: nowMs});
  }

  /** Returns the entry hosts, including this one. */
  current(nowMs: number): readonly EntryPeer[] {
    let longest: readonly EntryPeer[] = [];
    for (const [controlHost, {peers, receivedMs}] of this.lists) {
      if (nowMs - receivedMs > LIST_TTL_MS) this.lists.delete(controlHost);
      else if (peers.length > longest.length) longest = peers;
    }
    return longest.length > 0 ? longest : this.lastKnown;
  }
}
