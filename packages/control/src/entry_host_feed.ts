import type {PublishedDocument} from '@vanillamux/protocol';
import {packJson} from '@vanillamux/rpc';
import {monotonicMs, sleep} from '@vanillamux/shared';
import type {BackendCensus} from './backend_census.js';
import type {BackendRegistry} from './backend_registry.js';
import {ChangeCollector} from './change_collector.js';
import type {ControlHost} from './control_host.js';
import {EntryPeers} from './entry_peers.js';
import type {FeedBatch} from './feed_batch.js';
import type {FeedContent} from './feed_content.js';
import type {FeedCounts} from './feed_counts.js';
import type {FeedRequest} from './feed_request.js';
import type {FeedUpdate} from './feed_update.js';
import {followsLeader} from './follows_leader.js';
import type {PackedDocument} from './packed_document.js';
import type {RegistryChange} from './registry_change.js';
import {TurnQueue} from './turn_queue.js';

/** Reports state how long a server stays cold, so they must not be old. */
const MAX_BATCH_AGE_MS = 100;
/** Reports and peers from which on content is packed. */
const MIN_PACKED_ITEMS = 2;

/**
 * Serves long polls of entry hosts for changes that they lack. Changes are
 * collected, and encoded once for all entry hosts with the same state.
 */
export class EntryHostFeed {
  readonly counts: FeedCounts = {
    answers: 0,
    batches: 0,
    encodings: 0,
    documents: 0,
  };
  private readonly turns = new TurnQueue();
  private readonly peers = new EntryPeers();
  private readonly changes: ChangeCollector;
  private readonly batches = new Map<string, FeedBatch>();
  private packedDocument?: PackedDocument;
  /** Position of the registry at the last batch. */
  private position = 0;
  /** Log index of the list of members that entry hosts were told last. */
  private membersIndex: number;

  constructor(
    private readonly host: ControlHost,
    private readonly registry: BackendRegistry,
    private readonly census?: BackendCensus,
  ) {
    this.changes = new ChangeCollector(this.turns, () => this.startBatch());
    const {published, evacuation} = host.stateMachine;
    void published.versions
      .stream()
      .merge(evacuation.revisions.stream())
      .observe(() => this.changes.addUrgent());
    this.membersIndex = host.node.status().membersIndex;
    void host.node.appliedIndexes().observe(() => this.checkMembers());
    void registry.changes.stream().observe(change => this.addChange(change));
  }

  /** Polls that have something to be told and wait for their turn. */
  get waitingPolls(): number {
    return this.turns.length;
  }

  /**
   * Returns the changes after the state in the request. If there are none,
   * waits for one, up to `waitMs`.
   */
  async waitForUpdate(request: FeedRequest): Promise<FeedUpdate> {
    if (this.peers.subscribe(request.entry)) this.changes.add();
    if (request.knownBackends) this.census?.learn(request.knownBackends);
    if (!this.hasUpdate(request) && request.waitMs > 0) {
      const timer = new AbortController();
      await Promise.race([
        this.changes.nextBatch(),
        sleep(request.waitMs, timer.signal),
      ]);
      timer.abort();
      this.peers.renew();
    }
    await this.turns.next();
    return this.createUpdate(request);
  }

  /** Returns the published document, packed for entry hosts that read it. */
  async document(
    readsPacked: boolean,
  ): Promise<PublishedDocument | PackedDocument | undefined> {
    await this.turns.next();
    this.counts.documents++;
    const {current} = this.host.stateMachine.published;
    if (!current || !readsPacked) return current;
    if (this.packedDocument?.version !== current.version) {
      this.counts.encodings++;
      const {version} = current;
      this.packedDocument = {version, packed: packJson(current)};
    }
    return this.packedDocument;
  }

  /** Ends the polls when another list of members is certain. */
  private checkMembers(): void {
    const {membersIndex, appliedIndex} = this.host.node.status();
    if (membersIndex === this.membersIndex || membersIndex > appliedIndex)
      return;
    this.membersIndex = membersIndex;
    this.changes.addUrgent();
  }

  private addChange({isUrgent, scarceService}: RegistryChange): void {
    if (isUrgent) this.changes.addUrgent();
    else if (scarceService !== undefined) this.changes.addScarce(scarceService);
    else this.changes.add();
  }

  private startBatch(): void {
    this.counts.batches++;
    this.batches.clear();
    this.peers.renew();
    this.position = this.registry.position;
  }

  private createUpdate(request: FeedRequest): FeedUpdate {
    this.counts.answers++;
    const {update, content, packed, peersVersion} = this.batchFor(request);
    const {stateMachine, node} = this.host;
    const status = node.status();
    const isPacked = request.readsPacked === true && packed !== undefined;
    return {
      ...update,
      ...(isPacked ? {reports: [], packed} : content),
      peersVersion,
      version: stateMachine.published.version,
      evacuation: stateMachine.evacuation.save(),
      census: this.census?.current(),
      isCurrent: followsLeader(status),
      membersIndex: this.membersIndex,
      control: status.members.map(({address, failureDomain}) => ({
        address,
        failureDomain,
      })),
    };
  }

  /** Returns the changes since the state in the request, encoded at most once. */
  private batchFor(request: FeedRequest): FeedBatch {
    const {registryId, position} = request;
    const fromPosition = registryId === this.registry.id ? position : 0;
    const hasPeers = request.peersVersion === this.peers.version;
    const key = `${fromPosition} ${this.peers.version} ${hasPeers}`;
    const known = this.batches.get(key);
    if (known && monotonicMs() - known.createdMs < MAX_BATCH_AGE_MS)
      return known;
    const batch = this.createBatch(fromPosition, hasPeers);
    this.batches.set(key, batch);
    return batch;
  }

  private createBatch(fromPosition: number, hasPeers: boolean): FeedBatch {
    this.counts.encodings++;
    const {peers, registry} = this;
    const update = registry.changesSince(registry.id, fromPosition);
    const {reports} = update;
    const content: FeedContent = hasPeers
      ? {reports}
      : {reports, peers: peers.current};
    const items = reports.length + (content.peers?.length ?? 0);
    return {
      update,
      content,
      peersVersion: peers.version,
      packed: items < MIN_PACKED_ITEMS ? undefined : packJson(content),
      createdMs: monotonicMs(),
    };
  }

  private hasUpdate({
    registryId,
    position,
    version,
    evacuationRevision = Infinity,
    membersIndex = this.membersIndex,
  }: FeedRequest): boolean {
    const {published, evacuation} = this.host.stateMachine;
    return (
      registryId !== this.registry.id ||
      position < this.position ||
      published.version > version ||
      evacuation.view.revision > evacuationRevision ||
      membersIndex !== this.membersIndex
    );
  }
}
