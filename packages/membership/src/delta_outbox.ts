import type {Announcement} from '@vanillamux/protocol';
import {monotonicMs} from '@vanillamux/shared';
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
  take(from: string, leaving: boolean): Delta {
    const delta: Delta = {from, announcements: [], loads: [], leaving};
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

  /** Forgets what the peer was told, after it lost a batch or restarted. */
  reset(): void {
    this.told.clear();
  }
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
