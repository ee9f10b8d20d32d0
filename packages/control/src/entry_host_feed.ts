import type {EntryPeer} from '@vanillamux/protocol';
import {Deferred, formatAddress, monotonicMs, sleep} from '@vanillamux/shared';
import type {BackendCensus} from './backend_census.js';
import type {BackendRegistry} from './backend_registry.js';
import type {ControlHost} from './control_host.js';
import type {FeedUpdate} from './feed_update.js';
import type {FeedRequest} from './feed_request.js';

/** Time after its last request at which an entry host is unsubscribed. */
const SUBSCRIBER_TTL_MS = 10_000;
/** Time without a leader after which a control host is no longer current. */
const MAX_LEADER_SILENCE_MS = 1_000;
const MAX_INITIAL_VERSION = 1_000_000_000;

interface Subscriber {
  readonly peer: EntryPeer;
  readonly lastRequestMs: number;
}

/** Serves long polls of entry hosts for changes that they lack. */
export class EntryHostFeed {
  private readonly subscribers = new Map<string, Subscriber>();
  /**
   * Starts at a random number, so that a version from before a restart of this
   * host is not taken for a current one.
   */
  private peersVersion = Math.floor(Math.random() * MAX_INITIAL_VERSION);
  private versionDeferred = new Deferred<void>();

  constructor(
    private readonly host: ControlHost,
    private readonly registry: BackendRegistry,
    private readonly census?: BackendCensus,
  ) {
    const {published, evacuation} = host.stateMachine;
    const changes = published.versions
      .stream()
      .merge(evacuation.revisions.stream());
    void changes.observe(() => {
      this.versionDeferred.resolve();
      this.versionDeferred = new Deferred<void>();
    });
  }

  /**
   * Returns the changes after the state in the request. If there are none,
   * waits for one, up to `waitMs`.
   */
  async waitForUpdate(request: FeedRequest): Promise<FeedUpdate> {
    this.subscribe(request.entry);
    if (request.knownBackends) this.census?.learn(request.knownBackends);
    if (!this.hasUpdate(request) && request.waitMs > 0) {
      const timer = new AbortController();
      await Promise.race([
        this.versionDeferred.promise,
        this.registry.nextChange(),
        sleep(request.waitMs, timer.signal),
      ]);
      timer.abort();
    }
    const status = this.host.node.status();
    return {
      ...this.registry.changesSince(request.registryId, request.position),
      version: this.host.stateMachine.published.version,
      evacuation: this.host.stateMachine.evacuation.save(),
      census: this.census?.current(),
      isCurrent:
        status.isCurrent && status.leaderSilentMs < MAX_LEADER_SILENCE_MS,
      control: status.members.map(({address, failureDomain}) => ({
        address,
        failureDomain,
      })),
      ...this.peersUpdate(request.peersVersion),
    };
  }

  private hasUpdate({
    registryId,
    position,
    version,
    evacuationRevision = Infinity,
  }: FeedRequest): boolean {
    const update = this.registry.changesSince(registryId, position);
    return (
      update.registryId !== registryId ||
      update.reports.length > 0 ||
      this.host.stateMachine.published.version > version ||
      this.host.stateMachine.evacuation.view.revision > evacuationRevision
    );
  }

  private subscribe(peer: EntryPeer): void {
    const previous = this.subscribers.get(peer.id)?.peer;
    const isSame =
      previous &&
      formatAddress(previous.address) === formatAddress(peer.address);
    if (!isSame) this.peersVersion++;
    this.subscribers.set(peer.id, {peer, lastRequestMs: monotonicMs()});
  }

  private peersUpdate(
    knownVersion: number,
  ): Pick<FeedUpdate, 'peersVersion' | 'peers'> {
    const cutoffMs = monotonicMs() - SUBSCRIBER_TTL_MS;
    for (const [id, {lastRequestMs}] of this.subscribers) {
      if (lastRequestMs >= cutoffMs) continue;
      this.subscribers.delete(id);
      this.peersVersion++;
    }
    const {peersVersion} = this;
    if (peersVersion === knownVersion) return {peersVersion};
    const peers = [...this.subscribers.values()].map(({peer}) => peer);
    return {peersVersion, peers};
  }
}
