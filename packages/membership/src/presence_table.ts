import {PresenceState, type Presence} from '@vanillamux/protocol';
import {formatAddress, monotonicMs} from '@vanillamux/shared';
import {endIncarnation} from './end_incarnation.js';

/**
 * Time for which an ended incarnation is kept. Late heartbeats arrive seconds
 * after they were sent; a minute also covers a long network partition.
 */
const GONE_TTL_MS = 60_000;

/** Decides between reports of the same incarnation and sequence. */
const STATE_PRECEDENCE: Readonly<Record<PresenceState, number>> = {
  [PresenceState.Ready]: 0,
  [PresenceState.Silent]: 1,
  [PresenceState.Draining]: 2,
  [PresenceState.Gone]: 3,
};

interface PresenceEntry {
  readonly presence: Presence;
  readonly changedMs: number;
}

/**
 * Latest report of each backend server. Reports are ordered by incarnation and
 * sequence, so that late, duplicate and reordered ones change nothing, and
 * tables that received the same reports in any order agree.
 */
export class PresenceTable {
  private readonly entries = new Map<string, PresenceEntry>();
  private readonly idByAddress = new Map<string, string>();

  constructor(private readonly now: () => number = monotonicMs) {}

  /**
   * Applies a report. Returns the reports that are new to the table: none if it
   * is outdated, and two if it also ends the previous owner of its address.
   */
  apply(report: Presence): Presence[] {
    const known = this.entries.get(report.id)?.presence;
    if (known && !isNewer(report, known)) return [];
    const changes: Presence[] = [];
    const address = formatAddress(report.address);
    const previousOwner = this.findPreviousOwner(report, address);
    if (previousOwner && report.state !== PresenceState.Gone) {
      if (previousOwner.incarnation > report.incarnation) return [];
      const goneReport = endIncarnation(previousOwner);
      this.store(goneReport);
      changes.push(goneReport);
    }
    const stored = {...report, state: mergeState(report, known)};
    if (known) this.releaseAddress(known);
    this.store(stored);
    if (stored.state !== PresenceState.Gone) {
      this.idByAddress.set(address, stored.id);
    }
    return [...changes, stored];
  }

  /** Returns the latest report of a backend server. */
  get(id: string): Presence | undefined {
    return this.entries.get(id)?.presence;
  }

  /** Lists all reports, including those of ended incarnations. */
  list(): Presence[] {
    return [...this.entries.values()].map(({presence}) => presence);
  }

  /** Deletes what is known about a backend server. */
  delete(id: string): void {
    const presence = this.get(id);
    if (!presence) return;
    this.entries.delete(id);
    this.releaseAddress(presence);
  }

  /** Deletes incarnations that ended at least `GONE_TTL_MS` ago. */
  deleteExpired(): void {
    for (const [id, {presence, changedMs}] of this.entries) {
      if (presence.state !== PresenceState.Gone) continue;
      if (this.now() - changedMs >= GONE_TTL_MS) this.delete(id);
    }
  }

  /** Finds another backend server that was last known at the address. */
  private findPreviousOwner(
    report: Presence,
    address: string,
  ): Presence | undefined {
    const id = this.idByAddress.get(address);
    if (id === undefined || id === report.id) return undefined;
    const previousOwner = this.entries.get(id)?.presence;
    return previousOwner?.state === PresenceState.Gone
      ? undefined
      : previousOwner;
  }

  /** Forgets who has an address, unless it is another backend server by now. */
  private releaseAddress({id, address}: Presence): void {
    const key = formatAddress(address);
    if (this.idByAddress.get(key) === id) this.idByAddress.delete(key);
  }

  private store(presence: Presence): void {
    this.entries.set(presence.id, {presence, changedMs: this.now()});
  }
}

function isNewer(report: Presence, known: Presence): boolean {
  if (report.incarnation !== known.incarnation) {
    return report.incarnation > known.incarnation;
  }
  if (known.state === PresenceState.Gone) return false;
  if (report.state === PresenceState.Gone) return true;
  if (report.sequence !== known.sequence) {
    return report.sequence > known.sequence;
  }
  return STATE_PRECEDENCE[report.state] > STATE_PRECEDENCE[known.state];
}

/** Keeps a draining incarnation draining until it is gone. */
function mergeState(report: Presence, known?: Presence): PresenceState {
  const isDraining =
    known?.incarnation === report.incarnation &&
    known.state === PresenceState.Draining;
  return isDraining && report.state !== PresenceState.Gone
    ? PresenceState.Draining
    : report.state;
}
