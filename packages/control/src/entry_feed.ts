import type {EntryPeer} from '@vanillamux/protocol';
import {Deferred, formatAddress, monotonicMs, sleep} from '@vanillamux/shared';
import type {BackendRegistry} from './backend_registry.js';
import type {ControlHost} from './control_host.js';
import type {FeedNews} from './feed_news.js';
import type {FeedRequest} from './feed_request.js';

/** An entry host that has not asked for so long is not counted any more. */
const SUBSCRIBER_TTL_MS = 10_000;
/** A host that has heard the leader within this time is current. */
const CURRENT_MS = 1_000;
const MAX_FIRST_VERSION = 1_000_000_000;

interface Subscriber {
  readonly peer: EntryPeer;
  readonly seenMs: number;
}

/** Answers entry hosts as soon as there is something new to them. */
export class EntryFeed {
  private readonly subscribers = new Map<string, Subscriber>();
  /** Starts anywhere, so that a restarted host's numbers are not taken for it. */
  private peersVersion = Math.floor(Math.random() * MAX_FIRST_VERSION);
  private nextVersion = new Deferred<void>();

  constructor(
    private readonly host: ControlHost,
    private readonly registry: BackendRegistry,
  ) {
    void host.stateMachine.published.versions.stream().observe(() => {
      this.nextVersion.resolve();
      this.nextVersion = new Deferred<void>();
    });
  }

  /** Waits until something is new, or for `waitMs`. */
  async wait(request: FeedRequest): Promise<FeedNews> {
    this.subscribe(request.entry);
    if (!this.hasNews(request) && request.waitMs > 0) {
      const timer = new AbortController();
      await Promise.race([
        this.nextVersion.promise,
        this.registry.changed(),
        sleep(request.waitMs, timer.signal),
      ]);
      timer.abort();
    }
    return {
      ...this.registry.since(request.registryId, request.position),
      version: this.host.stateMachine.published.version,
      isCurrent: this.host.node.status().leaderSilentMs < CURRENT_MS,
      control: this.host.node
        .status()
        .members.map(({address, failureDomain}) => ({address, failureDomain})),
      ...this.peersSince(request.peersVersion),
    };
  }

  private hasNews({registryId, position, version}: FeedRequest): boolean {
    const news = this.registry.since(registryId, position);
    return (
      news.registryId !== registryId ||
      news.reports.length > 0 ||
      this.host.stateMachine.published.version > version
    );
  }

  private subscribe(peer: EntryPeer): void {
    const before = this.subscribers.get(peer.id)?.peer;
    const isSame =
      before && formatAddress(before.address) === formatAddress(peer.address);
    if (!isSame) this.peersVersion++;
    this.subscribers.set(peer.id, {peer, seenMs: monotonicMs()});
  }

  private peersSince(known: number): Pick<FeedNews, 'peersVersion' | 'peers'> {
    const oldestMs = monotonicMs() - SUBSCRIBER_TTL_MS;
    for (const [id, {seenMs}] of this.subscribers) {
      if (seenMs >= oldestMs) continue;
      this.subscribers.delete(id);
      this.peersVersion++;
    }
    const {peersVersion} = this;
    if (peersVersion === known) return {peersVersion};
    const peers = [...this.subscribers.values()].map(({peer}) => peer);
    return {peersVersion, peers};
  }
}
