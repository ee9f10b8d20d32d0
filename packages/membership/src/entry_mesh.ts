import {RpcClient} from '@vanillamux/rpc';
import {
  getLogger,
  monotonicMs,
  sleep,
  type Address,
  type HybridClock,
} from '@vanillamux/shared';
import type {Announcement} from '@vanillamux/protocol';
import {BackendChangeKind} from './backend_change.js';
import type {BackendInFlight} from './backend_in_flight.js';
import type {BackendTable} from './backend_table.js';
import type {Delta} from './delta.js';
import {DeltaOutbox} from './delta_outbox.js';
import type {MeshRouterRoot} from './mesh_router.js';
import {PeerInFlightTracker} from './peer_in_flight_tracker.js';

const BATCH_INTERVAL_MS = 100;
const IDLE_BATCH_INTERVAL_MS = 1_000;
const EXPIRE_INTERVAL_MS = 100;
const PEER_LEASE_MS = 3_000;
const CALL_TIMEOUT_MS = 1_000;

const log = getLogger('membership');

/** A peer that answered lately. */
export interface LivePeer {
  readonly id: string;
  readonly failureDomain: string;
  readonly address: Address;
}

/** Answer to a batch: who the receiver is and what it must be sent whole. */
export interface DeltaResponse {
  readonly id: string;
  readonly failureDomain: string;
  /** Hybrid logical time of the receiver. */
  readonly at: string;
  readonly unknown: string[];
}

/** Options of an `EntryMesh`. */
export interface EntryMeshOptions {
  readonly selfId: string;
  readonly failureDomain: string;
  readonly peers: readonly Address[];
  readonly clock: HybridClock;
  readonly table: BackendTable;
  /** What this host has in flight, for the peers' routing. */
  readonly readInFlight: () => BackendInFlight[];
}

/** Spreads announcements between the entry hosts. One task per peer. */
export class EntryMesh {
  readonly peerInFlight = new PeerInFlightTracker();
  private readonly outboxes = new Map<Address, DeltaOutbox>();
  private readonly lastReceivedMsById = new Map<string, number>();
  private readonly respondingPeers = new Map<string, LivePeer>();
  private isLeaving = false;

  constructor(private readonly options: EntryMeshOptions) {
    for (const peer of options.peers) {
      this.outboxes.set(peer, new DeltaOutbox());
    }
    void options.table.changes().observe(({kind, announcement}) => {
      if (kind !== BackendChangeKind.Lost) return;
      for (const outbox of this.outboxes.values()) {
        outbox.removeBackend(announcement.id);
      }
    });
  }

  /** Starts the tasks, which end when `signal` aborts. */
  run(signal: AbortSignal): void {
    for (const [peer, outbox] of this.outboxes) {
      void this.runSendLoop(peer, outbox, signal);
    }
    void this.runExpiryLoop(signal);
  }

  /** Takes an announcement that a backend server made to this host. */
  receiveAnnouncement(announcement: Announcement): boolean {
    const isNewer = this.options.table.apply(announcement);
    if (!isNewer) return false;
    const record = this.options.table.get(announcement.id);
    if (!record) return true;
    for (const outbox of this.outboxes.values()) {
      outbox.add(record.announcement, record.announcedMs);
    }
    return true;
  }

  /** Takes a batch from a peer. Returns the ids it must send in whole. */
  receiveDelta(delta: Delta): DeltaResponse {
    const {table, selfId, failureDomain, clock} = this.options;
    clock.observe(delta.at);
    if (delta.leaving) {
      this.lastReceivedMsById.delete(delta.from);
      this.peerInFlight.removePeer(delta.from);
    } else {
      this.lastReceivedMsById.set(delta.from, monotonicMs());
      this.peerInFlight.apply(delta);
    }
    for (const {announcement, ageMs} of delta.announcements) {
      table.apply(announcement, ageMs);
    }
    const unknown: string[] = [];
    for (const [
      id,
      incarnation,
      sequence,
      ageMs,
      ...loadValues
    ] of delta.loads) {
      const current = table.get(id)?.announcement;
      if (current?.incarnation !== incarnation) {
        unknown.push(id);
        continue;
      }
      const [queuedPrefillTokens, runningStreams, freeTokens] = loadValues;
      table.apply(
        {
          ...current,
          sequence,
          load: {queuedPrefillTokens, runningStreams, freeTokens},
          cache: {stored: [], evicted: []},
        },
        ageMs,
      );
    }
    return {id: selfId, failureDomain, at: clock.now(), unknown};
  }

  /** Peers that are heard and have answered. */
  livePeers(): LivePeer[] {
    return [...this.respondingPeers.values()].filter(({id}) =>
      this.lastReceivedMsById.has(id),
    );
  }

  /** Ids of the entry hosts heard within the lease, this one included. */
  liveEntryIds(): string[] {
    const nowMs = monotonicMs();
    const live = [...this.lastReceivedMsById]
      .filter(([, receivedMs]) => nowMs - receivedMs < PEER_LEASE_MS)
      .map(([id]) => id);
    return [this.options.selfId, ...live].sort();
  }

  /** Tells the peers with the next batch that this host leaves. */
  markLeaving(): void {
    this.isLeaving = true;
  }

  private async runSendLoop(
    peer: Address,
    outbox: DeltaOutbox,
    signal: AbortSignal,
  ): Promise<void> {
    const client = new RpcClient<MeshRouterRoot>({
      address: peer,
      from: this.options.selfId,
    });
    let lastSentMs = 0;
    while (!signal.aborted) {
      await sleep(BATCH_INTERVAL_MS, signal);
      const idleMs = monotonicMs() - lastSentMs;
      const inFlight = this.options.readInFlight();
      const isHeartbeatDue = idleMs >= IDLE_BATCH_INTERVAL_MS;
      if (!isHeartbeatDue && !outbox.hasChanges(inFlight)) continue;
      lastSentMs = monotonicMs();
      await this.sendBatch(client, outbox, inFlight);
    }
    client.close();
  }

  private async sendBatch(
    client: RpcClient<MeshRouterRoot>,
    outbox: DeltaOutbox,
    inFlight: readonly BackendInFlight[],
  ): Promise<void> {
    const batch = outbox.takeBatch(
      this.options.selfId,
      this.isLeaving,
      inFlight,
    );
    const delta = {...batch, at: this.options.clock.now()};
    const result = await client.call(
      (api, signal) => api.mesh.push.mutate(delta, {signal}),
      CALL_TIMEOUT_MS,
    );
    if (!result.ok) {
      log.debug('A peer took no batch.', {port: client.address.port});
      outbox.reset();
      return;
    }
    const {id, failureDomain, at, unknown} = result.value;
    this.options.clock.observe(at);
    this.respondingPeers.set(id, {id, failureDomain, address: client.address});
    if (unknown.length > 0) outbox.reset();
  }

  private expirePeers(): void {
    const nowMs = monotonicMs();
    for (const [id, receivedMs] of this.lastReceivedMsById) {
      if (nowMs - receivedMs < PEER_LEASE_MS) continue;
      this.lastReceivedMsById.delete(id);
      this.peerInFlight.removePeer(id);
    }
  }

  private async runExpiryLoop(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      await sleep(EXPIRE_INTERVAL_MS, signal);
      this.options.table.expire();
      this.expirePeers();
    }
  }
}
