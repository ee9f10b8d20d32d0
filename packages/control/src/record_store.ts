import {hashRecordEntry, type RecordEntry} from '@vanillamux/protocol';
import {
  ErrorCodes,
  fail,
  succeed,
  VmuxError,
  type Result,
} from '@vanillamux/shared';
import {Wal, type Disk} from '@vanillamux/storage';

const MAX_RECENT_ENTRIES = 200_000;

interface ChainHead {
  readonly sequence: number;
  readonly hash: string;
}

/** The record that entry hosts deliver to this control host. */
export class RecordStore {
  private readonly chainHeads = new Map<string, ChainHead>();

  private constructor(
    private readonly wal: Wal,
    private entries: RecordEntry[],
  ) {
    for (const {chain, sequence, hash} of entries) {
      this.chainHeads.set(chain, {sequence, hash});
    }
  }

  /** Opens the record of earlier runs. */
  static async open(disk: Disk): Promise<Result<RecordStore>> {
    const opened = await Wal.open(disk);
    if (!opened.ok) return opened;
    const {wal, payloads} = opened.value;
    const entries = payloads.map(
      payload => JSON.parse(payload.toString('utf8')) as RecordEntry,
    );
    return succeed(new RecordStore(wal, entries));
  }

  /**
   * Stores a batch durably. Entries already stored are skipped, so a batch may
   * be sent again. A chain may have parts on other control hosts; only the
   * merged chain shows whether one is missing.
   */
  async append(batch: readonly RecordEntry[]): Promise<Result<void>> {
    for (const entry of batch) {
      const head = this.chainHeads.get(entry.chain);
      if (head && entry.sequence <= head.sequence) continue;
      const error = validateEntry(entry, head);
      if (error) return fail(error);
      this.store(entry);
    }
    await this.wal.sync();
    return succeed(undefined);
  }

  /** Entries that match, oldest first within each chain. */
  query(filter: (entry: RecordEntry) => boolean, limit: number): RecordEntry[] {
    const matches: RecordEntry[] = [];
    for (let index = this.entries.length - 1; index >= 0; index--) {
      const entry = this.entries[index]!;
      if (filter(entry)) matches.push(entry);
      if (matches.length >= limit) break;
    }
    return matches.reverse();
  }

  async close(): Promise<void> {
    await this.wal.close();
  }

  private store(entry: RecordEntry): void {
    this.wal.append(Buffer.from(JSON.stringify(entry)));
    this.chainHeads.set(entry.chain, entry);
    this.entries.push(entry);
    if (this.entries.length > 2 * MAX_RECENT_ENTRIES) {
      this.entries = this.entries.slice(-MAX_RECENT_ENTRIES);
    }
  }
}

function validateEntry(
  entry: RecordEntry,
  head: ChainHead | undefined,
): VmuxError | undefined {
  const place = `${entry.chain} entry ${entry.sequence}`;
  const follows = head?.sequence === entry.sequence - 1;
  if (follows && entry.previousHash !== head?.hash) {
    const message = `${place} does not follow the entry before it`;
    return new VmuxError(ErrorCodes.BadRequest, {message});
  }
  if (hashRecordEntry(entry) !== entry.hash) {
    const message = `${place} does not match its hash`;
    return new VmuxError(ErrorCodes.BadRequest, {message});
  }
  return undefined;
}
