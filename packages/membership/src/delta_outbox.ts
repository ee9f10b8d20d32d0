import type {Announcement} from '@vanillamux/protocol';
import {monotonicMs} from '@vanillamux/shared';
import type {BackendInFlight} from './backend_in_flight.js';
import type {Delta} from './delta.js';

interface Pending {
  announcement: Announcement;
  heardMs: number;
  /** Whether more than the load changed since the peer was last told. */
  whole: boolean;
}

/** The changes that one peer has not been told yet; one per backend server. */
export class DeltaOutbox {
  private readonly pending = new Map<string, Pending>();
  private readonly told = new Map<string, string>();
  private readonly toldInFlight = new Map<string, string>();
  private isWhole = true;

  /** Notes an announcement that this host heard itself. */
  add(announcement: Announcement, heardMs: number): void {
    const {id} = announcement;
    const before = this.pending.get(id);
    const whole =
      before?.whole === true || this.told.get(id) !== fingerprint(announcement);
    this.pending.set(id, {
      announcement: before ? joinCache(before, announcement) : announcement,
      heardMs,
      whole,
    });
  }

  get isEmpty(): boolean {
    return this.pending.size === 0;
  }

  /** Takes everything out as one batch. */
  take(
    from: string,
    leaving: boolean,
    inFlight: readonly BackendInFlight[],
  ): Delta {
    const delta: Delta = {
      from,
      at: '',
      announcements: [],
      loads: [],
      inFlight: this.takeInFlight(inFlight),
      isWhole: this.isWhole,
      leaving,
    };
    this.isWhole = false;
    for (const {announcement, heardMs, whole} of this.pending.values()) {
      const ageMs = Math.round(monotonicMs() - heardMs);
      const {id, incarnation, sequence, load} = announcement;
      if (whole) delta.announcements.push({announcement, ageMs});
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
      this.told.set(id, fingerprint(announcement));
    }
    this.pending.clear();
    return delta;
  }

  private takeInFlight(
    inFlight: readonly BackendInFlight[],
  ): Delta['inFlight'] {
    const changed: Delta['inFlight'] = [];
    for (const item of inFlight) {
      const tuple = encodeInFlight(item);
      const text = JSON.stringify(tuple);
      if (this.toldInFlight.get(item.backendId) === text) continue;
      this.toldInFlight.set(item.backendId, text);
      changed.push(tuple);
    }
    return changed;
  }

  /** Whether the peer knows less than what is in flight now. */
  hasNews(inFlight: readonly BackendInFlight[]): boolean {
    if (!this.isEmpty) return true;
    return inFlight.some(
      item =>
        this.toldInFlight.get(item.backendId) !==
        JSON.stringify(encodeInFlight(item)),
    );
  }

  /** Forgets a backend server that is gone. */
  forget(backendId: string): void {
    this.pending.delete(backendId);
    this.told.delete(backendId);
    this.toldInFlight.delete(backendId);
  }

  /** Forgets what the peer was told, after it lost a batch or restarted. */
  reset(): void {
    this.told.clear();
    this.toldInFlight.clear();
    this.isWhole = true;
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

function joinCache(before: Pending, next: Announcement): Announcement {
  const {cache} = before.announcement;
  return {
    ...next,
    cache: {
      stored: [...cache.stored, ...next.cache.stored],
      evicted: [...cache.evicted, ...next.cache.evicted],
    },
  };
}
