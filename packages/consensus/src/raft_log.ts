import {invariant} from '@vanillamux/shared';
import {EntryKind} from './entry_kind.js';
import type {LogEntry} from './log_entry.js';
import type {Member} from './member.js';
import type {SnapshotMetadata} from './snapshot.js';

/** The log in memory: the entries after the last snapshot. */
export class RaftLog {
  private entries: LogEntry[] = [];

  constructor(private base: SnapshotMetadata) {}

  get baseIndex(): number {
    return this.base.index;
  }

  get baseTerm(): number {
    return this.base.term;
  }

  get lastIndex(): number {
    return this.base.index + this.entries.length;
  }

  get lastTerm(): number {
    return this.entries.at(-1)?.term ?? this.base.term;
  }

  /** Term of the entry at `index`; `undefined` outside the log. */
  termAt(index: number): number | undefined {
    if (index === this.base.index) return this.base.term;
    return this.entryAt(index)?.term;
  }

  /** The entry at `index`; `undefined` outside the log. */
  entryAt(index: number): LogEntry | undefined {
    return this.entries[index - this.base.index - 1];
  }

  /** Up to `limit` entries from `first` on. */
  slice(first: number, limit: number): LogEntry[] {
    const start = first - this.base.index - 1;
    return this.entries.slice(start, start + limit);
  }

  /** Adds an entry, replacing it and all later ones if already there. */
  truncateAndAppend(entry: LogEntry): void {
    const offset = entry.index - this.base.index - 1;
    invariant(offset >= 0, 'entries covered by a snapshot never change');
    invariant(offset <= this.entries.length, 'the log has no gaps');
    this.entries.length = offset;
    this.entries.push(entry);
  }

  /** The member list in force and the index of the entry that set it. */
  membership(): {readonly members: readonly Member[]; readonly index: number} {
    for (let offset = this.entries.length - 1; offset >= 0; offset--) {
      const entry = this.entries[offset]!;
      if (entry.kind === EntryKind.Members) {
        return {
          members: JSON.parse(entry.data) as Member[],
          index: entry.index,
        };
      }
    }
    return {members: this.base.members, index: this.base.index};
  }

  /** The member list in force at `index`. */
  membersAt(index: number): readonly Member[] {
    for (let entryIndex = index; entryIndex > this.base.index; entryIndex--) {
      const entry = this.entryAt(entryIndex);
      if (entry?.kind === EntryKind.Members) {
        return JSON.parse(entry.data) as Member[];
      }
    }
    return this.base.members;
  }

  /**
   * Index before the entries up to `last` that are kept for members that lag:
   * at most `maxEntries` of them, with at most `maxBytes` of data.
   */
  compactionIndex(last: number, maxEntries: number, maxBytes: number): number {
    let index = last;
    let bytes = 0;
    while (index > this.base.index && last - index < maxEntries) {
      bytes += this.entryAt(index)?.data.length ?? 0;
      if (bytes > maxBytes) break;
      index--;
    }
    return index;
  }

  /** Drops the entries up to `base.index`. */
  compact(base: SnapshotMetadata): void {
    const keptEntries = this.slice(base.index + 1, Number.MAX_SAFE_INTEGER);
    const isContinuous = this.termAt(base.index) === base.term;
    this.base = base;
    this.entries = isContinuous ? keptEntries : [];
  }

  /** All entries after the snapshot. */
  allEntries(): readonly LogEntry[] {
    return this.entries;
  }
}
