import type {EntryPeer} from '@vanillamux/protocol';

/** Time after which the list of a control host that is not heard is stale. */
const STALE_MS = 15_000;

interface Listed {
  peers: readonly EntryPeer[];
  heardMs: number;
}

/**
 * The entry hosts of the deployment, as the control hosts list those that ask
 * them. A control host that has just started lists few, so the longest list of
 * those heard lately counts.
 */
export class PeerRoster {
  private readonly lists = new Map<string, Listed>();

  /** A control host was heard; without `peers`, its list is the same. */
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

  /** The entry hosts, this one included. */
  current(nowMs: number): readonly EntryPeer[] {
    let longest: readonly EntryPeer[] = [];
    for (const [control, {peers, heardMs}] of this.lists) {
      if (nowMs - heardMs > STALE_MS) this.lists.delete(control);
      else if (peers.length > longest.length) longest = peers;
    }
    return longest;
  }
}
