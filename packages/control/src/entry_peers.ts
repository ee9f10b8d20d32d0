import type {EntryPeer} from '@vanillamux/protocol';
import {formatAddress, monotonicMs} from '@vanillamux/shared';

/** Time after its last request at which an entry host is unsubscribed. */
const SUBSCRIBER_TTL_MS = 10_000;
const MAX_INITIAL_VERSION = 1_000_000_000;

interface Subscriber {
  readonly peer: EntryPeer;
  readonly lastRequestMs: number;
}

/** Entry hosts that poll this control host, and the list that they are told. */
export class EntryPeers {
  private readonly subscribers = new Map<string, Subscriber>();
  private hasChanged = true;
  private list: readonly EntryPeer[] = [];
  /**
   * Starts at a random number, so that a version from before a restart of this
   * host is not taken for a current one.
   */
  private listVersion = Math.floor(Math.random() * MAX_INITIAL_VERSION);

  /** Takes note of a request. Returns whether its entry host is new here. */
  subscribe(peer: EntryPeer): boolean {
    const previous = this.subscribers.get(peer.id)?.peer;
    this.subscribers.set(peer.id, {peer, lastRequestMs: monotonicMs()});
    const isSame =
      previous !== undefined &&
      formatAddress(previous.address) === formatAddress(peer.address);
    if (!isSame) this.hasChanged = true;
    return !isSame;
  }

  /** Version of the list. */
  get version(): number {
    return this.listVersion;
  }

  /** The list as of the last call of `renew`. */
  get current(): readonly EntryPeer[] {
    return this.list;
  }

  /** Renews the list if entry hosts have come, moved or gone. */
  renew(): void {
    const cutoffMs = monotonicMs() - SUBSCRIBER_TTL_MS;
    for (const [id, {lastRequestMs}] of this.subscribers) {
      if (lastRequestMs >= cutoffMs) continue;
      this.subscribers.delete(id);
      this.hasChanged = true;
    }
    if (!this.hasChanged) return;
    this.hasChanged = false;
    this.listVersion++;
    this.list = [...this.subscribers.values()].map(({peer}) => peer);
  }
}
