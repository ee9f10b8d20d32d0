import type {EntryPeer} from '@vanillamux/protocol';

/** Time after a control host's last response at which its list is dropped. */
const STALE_MS = 15_000;

interface Listed {
  peers: readonly EntryPeer[];
  heardMs: number;
}

/**
 * Tracks the entry hosts of the deployment. Each control host lists the entry
 * hosts that poll it. A control host that has just started lists few, so the
 * longest of the recent lists is used.
 */
export class PeerRoster {
  private readonly lists = new Map<string, Listed>();

  /** Handles a response of a control host; no `peers` means no change. */
  note(
    control: string,
    peers: readonly EntryPeer[] | undefined,
    nowMs: number,
  ): void {
    const listed = this.lists.get(control);
    if (listed) listed.heardMs = nowMs;
    if (!peers) return;
    this.lists.set(control, {peers, heardMs: nowMs});
  }

  /** Returns the entry hosts, including this one. */
  current(nowMs: number): readonly EntryPeer[] {
    let longest: readonly EntryPeer[] = [];
    for (const [control, {peers, heardMs}] of this.lists) {
      if (nowMs - heardMs > STALE_MS) this.lists.delete(control);
      else if (peers.length > longest.length) longest = peers;
    }
    return longest;
  }
}
