import {BackendState, type Announcement} from '@vanillamux/protocol';
import {EventBus, monotonicMs} from '@vanillamux/shared';
import type {Stream} from 'most';
import {BackendChangeKind, type BackendChange} from './backend_change.js';
import type {BackendRecord} from './backend_record.js';

const TOMBSTONE_TTL_MS = 60_000;

interface Tombstone {
  readonly incarnation: number;
  readonly sequence: number;
  readonly endsMs: number;
}

/**
 * The backend servers that an entry host knows, ordered by incarnation and
 * sequence, so that late and repeated announcements change nothing.
 */
export class BackendTable {
  private readonly records = new Map<string, BackendRecord>();
  /** Ids by failure domain, so that routing looks at its own first. */
  private readonly domains = new Map<string, Set<string>>();
  private readonly tombstones = new Map<string, Tombstone>();
  private readonly bus = new EventBus<BackendChange>();

  constructor(private readonly now: () => number = monotonicMs) {}

  /** Streams the changes. */
  changes(): Stream<BackendChange> {
    return this.bus.stream();
  }

  /**
   * Takes an announcement that was made `ageMs` ago. Returns whether it was
   * newer than what the table held.
   */
  apply(announcement: Announcement, ageMs = 0): boolean {
    const {id, leaseMs} = announcement;
    const heardMs = this.now() - ageMs;
    const leaseEndsMs = heardMs + leaseMs;
    if (leaseEndsMs <= this.now()) return false;
    if (!this.isNewer(announcement)) return false;
    const present = this.records.get(id)?.announcement;
    const sameLife = present?.incarnation === announcement.incarnation;
    const leaves =
      announcement.state === BackendState.Leaving ||
      (sameLife && present.state === BackendState.Leaving);
    const state = leaves ? BackendState.Leaving : BackendState.Ready;
    const stored: Announcement = {...announcement, state};
    this.records.set(id, {announcement: stored, heardMs, leaseEndsMs});
    this.index(id, stored.failureDomain);
    this.bus.emit({
      kind: classifyChange(stored, sameLife ? present : undefined),
      announcement: stored,
    });
    return true;
  }

  /** Removes the backend servers whose lease has ended. */
  expire(): void {
    const nowMs = this.now();
    for (const [id, {announcement, leaseEndsMs}] of this.records) {
      if (leaseEndsMs > nowMs) continue;
      this.records.delete(id);
      this.domains.get(announcement.failureDomain)?.delete(id);
      const {incarnation, sequence} = announcement;
      const endsMs = nowMs + TOMBSTONE_TTL_MS;
      this.tombstones.set(id, {incarnation, sequence, endsMs});
      this.bus.emit({kind: BackendChangeKind.Lost, announcement});
    }
    for (const [id, {endsMs}] of this.tombstones) {
      if (endsMs <= nowMs) this.tombstones.delete(id);
    }
  }

  /** Finds a backend server whose lease holds. */
  get(id: string): BackendRecord | undefined {
    const record = this.records.get(id);
    return record && record.leaseEndsMs > this.now() ? record : undefined;
  }

  /** Backend servers whose lease holds. */
  list(): BackendRecord[] {
    const nowMs = this.now();
    return [...this.records.values()].filter(
      ({leaseEndsMs}) => leaseEndsMs > nowMs,
    );
  }

  /** Backend servers of one failure domain whose lease holds. */
  listIn(failureDomain: string): BackendRecord[] {
    const ids = this.domains.get(failureDomain) ?? [];
    return this.resolve(ids);
  }

  /**
   * Backend servers of other failure domains, at most `count` of each, from a
   * random place on.
   */
  sampleOutside(failureDomain: string, count: number): BackendRecord[] {
    const sampled: string[] = [];
    for (const [domain, ids] of this.domains) {
      if (domain === failureDomain || ids.size === 0) continue;
      const all = [...ids];
      const start = Math.floor(Math.random() * all.length);
      for (let step = 0; step < Math.min(count, all.length); step++) {
        sampled.push(all[(start + step) % all.length]!);
      }
    }
    return this.resolve(sampled);
  }

  private resolve(ids: Iterable<string>): BackendRecord[] {
    const found: BackendRecord[] = [];
    for (const id of ids) {
      const record = this.get(id);
      if (record) found.push(record);
    }
    return found;
  }

  private index(id: string, failureDomain: string): void {
    const ids = this.domains.get(failureDomain) ?? new Set<string>();
    this.domains.set(failureDomain, ids.add(id));
  }

  private isNewer({id, incarnation, sequence}: Announcement): boolean {
    const known = this.records.get(id)?.announcement ?? this.tombstones.get(id);
    if (!known) return true;
    if (incarnation !== known.incarnation) {
      return incarnation > known.incarnation;
    }
    return sequence > known.sequence;
  }
}

function classifyChange(
  next: Announcement,
  before: Announcement | undefined,
): BackendChangeKind {
  if (!before) {
    return next.state === BackendState.Leaving
      ? BackendChangeKind.Leaving
      : BackendChangeKind.Joined;
  }
  if (next.state === before.state) return BackendChangeKind.Updated;
  return BackendChangeKind.Leaving;
}
