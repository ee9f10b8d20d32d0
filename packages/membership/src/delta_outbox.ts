import type {Announcement} from '@vanillamux/protocol';
import {monotonicMs} from '@vanillamux/shared';
import type {BackendInFlight} from './backend_in_flight.js';
import type {Delta} from './delta.js';

interface PendingAnnouncement {
  announcement: Announcement;
  announcedMs: number;
  /** Whether more than the load changed since the peer was last told. */
  needsFullAnnouncement: boolean;
}

/** The changes that one peer has not been told yet; one per backend server. */
export class DeltaOutbox {
  private readonly pending = new Map<string, PendingAnnouncement>();
  private readonly sentFingerprints = new Map<string, string>();
  private readonly sentInFlight = new Map<string, string>();
  private isNextBatchFull = true;

  /** Notes an announcement that this host heard itself. */
  add(announcement: Announcement, announcedMs: number): void {
    const {id} = announcement;
    const previous = this.pending.get(id);
    const needsFullAnnouncement =
      previous?.needsFullAnnouncement === true ||
      this.sentFingerprints.get(id) !== fingerprint(announcement);
    this.pending.set(id, {
      announcement: previous
        ? mergeCacheEvents(previous, announcement)
        : announcement,
      announcedMs: announcedMs,
      needsFullAnnouncement: needsFullAnnouncement,
    });
  }

  get isEmpty(): boolean {
    return this.pending.size === 0;
  }

  /** Takes everything out as one batch. */
  takeBatch(
    from: string,
    isLeaving: boolean,
    inFlight: readonly BackendInFlight[],
  ): Delta {
    const delta: Delta = {
      from,
      at: '',
      announcements: [],
      loads: [],
      inFlight: this.takeChangedInFlight(inFlight),
      isWhole: this.isNextBatchFull,
      leaving: isLeaving,
    };
    this.isNextBatchFull = false;
    for (const {
      announcement,
      announcedMs: announcedMs,
      needsFullAnnouncement: needsFullAnnouncement,
    } of this.pending.values()) {
      const ageMs = Math.round(monotonicMs() - announcedMs);
      const {id, incarnation, sequence, load} = announcement;
      if (needsFullAnnouncement)
        delta.announcements.push({announcement, ageMs});
      else {
        delta.loads.push([
          id,
          incarnation,
          sequence,
          ageMs,
          Math.round(load.queuedPrefillTokens),
          load.runningStreams,
          Math.round(load.freeTokens),
        ]);
      }
      this.sentFingerprints.set(id, fingerprint(announcement));
    }
    this.pending.clear();
    return delta;
  }

  private takeChangedInFlight(
    inFlight: readonly BackendInFlight[],
  ): Delta['inFlight'] {
    const changed: Delta['inFlight'] = [];
    for (const item of inFlight) {
      const tuple = encodeInFlight(item);
      const text = JSON.stringify(tuple);
      if (this.sentInFlight.get(item.backendId) === text) continue;
      this.sentInFlight.set(item.backendId, text);
      changed.push(tuple);
    }
    return changed;
  }

  /** Whether the peer knows less than what is in flight now. */
  hasChanges(inFlight: readonly BackendInFlight[]): boolean {
    if (!this.isEmpty) return true;
    return inFlight.some(
      item =>
        this.sentInFlight.get(item.backendId) !==
        JSON.stringify(encodeInFlight(item)),
    );
  }

  /** Forgets a backend server that is gone. */
  removeBackend(backendId: string): void {
    this.pending.delete(backendId);
    this.sentFingerprints.delete(backendId);
    this.sentInFlight.delete(backendId);
  }

  /** Forgets what the peer was told, after it lost a batch or restarted. */
  reset(): void {
    this.sentFingerprints.clear();
    this.sentInFlight.clear();
    this.isNextBatchFull = true;
  }
}

function encodeInFlight(item: BackendInFlight): Delta['inFlight'][number] {
  const pairs = item.prefillByPriority.flatMap((tokens, priority) =>
    tokens > 0 ? [priority, Math.round(tokens)] : [],
  );
  return [item.backendId, item.requests, Math.round(item.heldTokens), ...pairs];
}

/** Everything but the parts that change with each report. */
function fingerprint(announcement: Announcement): string {
  const {id, incarnation, state, address, models, cache} = announcement;
  const cacheChanges = cache.stored.length + cache.evicted.length;
  return JSON.stringify([
    id,
    incarnation,
    state,
    address,
    models,
    cacheChanges > 0 ? announcement.sequence : 0,
  ]);
}

function mergeCacheEvents(
  previous: PendingAnnouncement,
  next: Announcement,
): Announcement {
  const {cache} = previous.announcement;
  return {
    ...next,
    cache: {
      stored: [...cache.stored, ...next.cache.stored],
      evicted: [...cache.evicted, ...next.cache.evicted],
    },
  };
}
