import {invariant} from '@vanillamux/shared';
import {EntryKind} from './entry_kind.js';
import type {LogEntry} from './log_entry.js';
import type {Member} from './member.js';
import type {Membership} from './membership.js';
import type {SnapshotMetadata} from './snapshot.js';

/** In-memory log: the entries after the base up to which it is compacted. */
export class RaftLog {
  private entries: LogEntry[] = [];
  /** Member lists in `entries`, in order. They are read far more than set. */
  private memberships: Membership[] = [];

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

  /** Returns the term of the entry at `index`; `undefined` outside the log. */
  termAt(index: number): number | undefined {
    if (index === this.base.index) return this.base.term;
    return this.entryAt(index)?.term;
  }

  /** Returns the entry at `index`; `undefined` outside the log. */
  entryAt(index: number): LogEntry | undefined {
    return this.entries[index - this.base.index - 1];
  }

  /**
   * Returns entries from index `first` on with at most `maxCharacters` of data
   * in all, but at least one entry if there is any.
   */
  slice(first: number, maxCharacters = Infinity): LogEntry[] {
    const start = first - this.base.index - 1;
    let end = start;
    let characters = 0;
    while (end < this.entries.length) {
      characters += this.entries[end]!.data.length;
      if (end > start && characters > maxCharacters) break;
      end++;
    }
    return this.entries.slice(start, end);
  }

  /** Returns the characters of data in the entries from `first` to `last`. */
  charactersBetween(first: number, last = this.lastIndex): number {
    let characters = 0;
    for (let index = first; index <= last; index++) {
      characters += this.entryAt(index)?.data.length ?? 0;
    }
    return characters;
  }

  /** Appends an entry after removing existing entries from its index on. */
  truncateAndAppend(entry: LogEntry): void {
    const offset = entry.index - this.base.index - 1;
    invariant(offset >= 0, 'entries covered by a snapshot never change');
    invariant(offset <= this.entries.length, 'the log has no gaps');
    this.entries.length = offset;
    this.entries.push(entry);
    while ((this.memberships.at(-1)?.index ?? 0) >= entry.index)
      this.memberships.pop();
    if (entry.kind === EntryKind.Members) {
      const members = JSON.parse(entry.data) as Member[];
      this.memberships.push({members, index: entry.index});
    }
  }

  /** Returns the latest member list and the index at which it was set. */
  membership(): Membership {
    return this.memberships.at(-1) ?? this.base;
  }

  /** Returns the member list in effect at `index`. */
  membersAt(index: number): readonly Member[] {
    const set = this.memberships.filter(list => list.index <= index);
    return (set.at(-1) ?? this.base).members;
  }

  /**
   * Returns the index up to which the log can be compacted. The entries after
   * it, up to `last`, are kept for members that lag: at most `maxEntries`, with
   * at most `maxBytes` of data.
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

  /** Drops the entries up to `base.index`; all entries if the terms differ. */
  compact(base: SnapshotMetadata): void {
    const keptEntries = this.slice(base.index + 1);
    const isContinuous = this.termAt(base.index) === base.term;
    this.base = base;
    this.entries = isContinuous ? keptEntries : [];
    this.memberships = isContinuous
      ? this.memberships.filter(({index}) => index > base.index)
      : [];
  }

  /** Returns all entries after the base. */
  allEntries(): readonly LogEntry[] {
    return this.entries;
  }
}
