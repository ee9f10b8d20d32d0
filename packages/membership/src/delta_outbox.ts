import type {Announcement} from '@vanillamux/protocol';
import {monotonicMs} from '@vanillamux/shared';
import type {BackendInFlight} from './backend_in_flight.js';
import type {Delta} from './delta.js';

interface PendingAnnouncement {
  announcement: Announcement;
  announcedMs: number;
  /** Whether more than the load changed since it was last sent to the peer. */
  needsFullAnnouncement: boolean;
}

/** Changes that have not been sent to a peer yet, one per backend server. */
export class DeltaOutbox {
  private readonly pending = new Map<string, PendingAnnouncement>();
  private readonly sentFingerprints = new Map<string, string>();
  private readonly sentInFlight = new Map<string, string>();
  private isNextBatchFull = true;

  /** Adds an announcement that a backend server sent to this host. */
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
      announcedMs,
      needsFullAnnouncement,
    });
  }

  get isEmpty(): boolean {
    return this.pending.size === 0;
  }

  /** Returns all pending changes as one batch, without `at`, and clears them. */
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
      announcedMs,
      needsFullAnnouncement,
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

  /** Whether announcements or in-flight requests changed since the last batch. */
  hasChanges(inFlight: readonly BackendInFlight[]): boolean {
    if (!this.isEmpty) return true;
    return inFlight.some(
      item =>
        this.sentInFlight.get(item.backendId) !==
        JSON.stringify(encodeInFlight(item)),
    );
  }

  /** Removes a backend server whose lease has expired. */
  removeBackend(backendId: string): void {
    this.pending.delete(backendId);
    this.sentFingerprints.delete(backendId);
    this.sentInFlight.delete(backendId);
  }

  /**
   * Discards what was sent before, after a batch was lost or the peer restarted.
   * The next batch then lists all requests in flight, and the next announcement
   * of each backend server is sent in full.
   */
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

/**
 * Serializes the fields whose change requires a full announcement. They include
 * the sequence of an announcement with cache events, which load reports omit.
 */
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
