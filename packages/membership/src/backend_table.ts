import {BackendState, type Announcement} from '@vanillamux/protocol';
import {EventBus, monotonicMs} from '@vanillamux/shared';
import type {Stream} from 'most';
import {BackendChangeKind, type BackendChange} from './backend_change.js';
import type {BackendRecord} from './backend_record.js';

const TOMBSTONE_TTL_MS = 60_000;

interface Tombstone {
  readonly incarnation: number;
  readonly sequence: number;
  readonly expiresMs: number;
}

/**
 * The backend servers that an entry host knows, ordered by incarnation and
 * sequence, so that late and repeated announcements change nothing.
 */
export class BackendTable {
  private readonly records = new Map<string, BackendRecord>();
  /** Ids by failure domain, so that routing looks at its own first. */
  private readonly idsByDomain = new Map<string, Set<string>>();
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
    const announcedMs = this.now() - ageMs;
    const leaseExpiresMs = announcedMs + leaseMs;
    if (leaseExpiresMs <= this.now()) return false;
    if (!this.isNewer(announcement)) return false;
    const current = this.records.get(id)?.announcement;
    const isSameIncarnation = current?.incarnation === announcement.incarnation;
    const isLeaving =
      announcement.state === BackendState.Leaving ||
      (isSameIncarnation && current.state === BackendState.Leaving);
    const state = isLeaving ? BackendState.Leaving : BackendState.Ready;
    const stored: Announcement = {...announcement, state};
    this.records.set(id, {
      announcement: stored,
      announcedMs: announcedMs,
      leaseExpiresMs: leaseExpiresMs,
    });
    this.addToDomain(id, stored.failureDomain);
    this.bus.emit({
      kind: classifyChange(stored, isSameIncarnation ? current : undefined),
      announcement: stored,
    });
    return true;
  }

  /** Removes the backend servers whose lease has ended. */
  expire(): void {
    const nowMs = this.now();
    for (const [id, {announcement, leaseExpiresMs: leaseExpiresMs}] of this
      .records) {
      if (leaseExpiresMs > nowMs) continue;
      this.records.delete(id);
      this.idsByDomain.get(announcement.failureDomain)?.delete(id);
      const {incarnation, sequence} = announcement;
      const expiresMs = nowMs + TOMBSTONE_TTL_MS;
      this.tombstones.set(id, {incarnation, sequence, expiresMs: expiresMs});
      this.bus.emit({kind: BackendChangeKind.Lost, announcement});
    }
    for (const [id, {expiresMs: expiresMs}] of this.tombstones) {
      if (expiresMs <= nowMs) this.tombstones.delete(id);
    }
  }

  /** Finds a backend server whose lease holds. */
  get(id: string): BackendRecord | undefined {
    const record = this.records.get(id);
    return record && record.leaseExpiresMs > this.now() ? record : undefined;
  }

  /** Backend servers whose lease holds. */
  list(): BackendRecord[] {
    const nowMs = this.now();
    return [...this.records.values()].filter(
      ({leaseExpiresMs: leaseExpiresMs}) => leaseExpiresMs > nowMs,
    );
  }

  /** Backend servers of one failure domain whose lease holds. */
  listIn(failureDomain: string): BackendRecord[] {
    const ids = this.idsByDomain.get(failureDomain) ?? [];
    return this.getRecords(ids);
  }

  /**
   * Backend servers of other failure domains, at most `count` of each, from a
   * random place on.
   */
  sampleOutside(failureDomain: string, count: number): BackendRecord[] {
    const sampled: string[] = [];
    for (const [domain, ids] of this.idsByDomain) {
      if (domain === failureDomain || ids.size === 0) continue;
      const domainIds = [...ids];
      const start = Math.floor(Math.random() * domainIds.length);
      for (
        let offset = 0;
        offset < Math.min(count, domainIds.length);
        offset++
      ) {
        sampled.push(domainIds[(start + offset) % domainIds.length]!);
      }
    }
    return this.getRecords(sampled);
  }

  private getRecords(ids: Iterable<string>): BackendRecord[] {
    const found: BackendRecord[] = [];
    for (const id of ids) {
      const record = this.get(id);
      if (record) found.push(record);
    }
    return found;
  }

  private addToDomain(id: string, failureDomain: string): void {
    const ids = this.idsByDomain.get(failureDomain) ?? new Set<string>();
    this.idsByDomain.set(failureDomain, ids.add(id));
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
  previous: Announcement | undefined,
): BackendChangeKind {
  if (!previous) {
    return next.state === BackendState.Leaving
      ? BackendChangeKind.Leaving
      : BackendChangeKind.Joined;
  }
  if (next.state === previous.state) return BackendChangeKind.Updated;
  return BackendChangeKind.Leaving;
}
