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
 * Backend servers that an entry host knows. Announcements are ordered by
 * incarnation and sequence, so that late and duplicate ones change nothing.
 */
export class BackendTable {
  private readonly records = new Map<string, BackendRecord>();
  /** Ids by failure domain, because routing prefers its own domain. */
  private readonly idsByDomain = new Map<string, Set<string>>();
  private readonly tombstones = new Map<string, Tombstone>();
  private readonly bus = new EventBus<BackendChange>();

  constructor(private readonly now: () => number = monotonicMs) {}

  /** Returns a stream of the changes to the table. */
  changes(): Stream<BackendChange> {
    return this.bus.stream();
  }

  /**
   * Applies an announcement that was made `ageMs` ago. Returns whether it is
   * newer than the known state and its lease has not expired.
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
      announcedMs,
      leaseExpiresMs,
    });
    this.addToDomain(id, stored.failureDomain);
    this.bus.emit({
      kind: classifyChange(stored, isSameIncarnation ? current : undefined),
      announcement: stored,
    });
    return true;
  }

  /** Removes backend servers whose lease has expired, and old tombstones. */
  expire(): void {
    const nowMs = this.now();
    for (const [id, {announcement, leaseExpiresMs}] of this.records) {
      if (leaseExpiresMs > nowMs) continue;
      this.records.delete(id);
      this.idsByDomain.get(announcement.failureDomain)?.delete(id);
      const {incarnation, sequence} = announcement;
      const expiresMs = nowMs + TOMBSTONE_TTL_MS;
      this.tombstones.set(id, {incarnation, sequence, expiresMs});
      this.bus.emit({kind: BackendChangeKind.Lost, announcement});
    }
    for (const [id, {expiresMs}] of this.tombstones) {
      if (expiresMs <= nowMs) this.tombstones.delete(id);
    }
  }

  /** Finds a backend server whose lease has not expired. */
  get(id: string): BackendRecord | undefined {
    const record = this.records.get(id);
    return record && record.leaseExpiresMs > this.now() ? record : undefined;
  }

  /** Lists the backend servers whose lease has not expired. */
  list(): BackendRecord[] {
    const nowMs = this.now();
    return [...this.records.values()].filter(
      ({leaseExpiresMs}) => leaseExpiresMs > nowMs,
    );
  }

  /** Lists the backend servers of a failure domain with unexpired leases. */
  listIn(failureDomain: string): BackendRecord[] {
    const ids = this.idsByDomain.get(failureDomain) ?? [];
    return this.getRecords(ids);
  }

  /**
   * Lists backend servers of other failure domains, at most `count` of each,
   * starting at a random one.
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
