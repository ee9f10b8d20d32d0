import {getLogger, succeed, type Result} from '@vanillamux/shared';
import {ChecksummedFile, Wal, type Disk} from '@vanillamux/storage';
import type {LogEntry} from './log_entry.js';
import type {LogPosition} from './log_position.js';
import {RaftLog} from './raft_log.js';
import type {Snapshot} from './snapshot.js';

const SNAPSHOT_FILE = 'snapshot.json';
const COMMITTED_FILE = 'committed.json';

/** Term and vote of a member, which must survive a restart. */
export interface Ballot {
  readonly term: number;
  readonly votedFor?: string;
}

type StoredRecord = {readonly entry: LogEntry} | {readonly ballot: Ballot};

/** State that a member recovers from its disk when it starts. */
export interface RecoveredState {
  readonly storage: RaftStorage;
  readonly ballot: Ballot;
  readonly log: RaftLog;
  readonly snapshot?: Snapshot;
  /**
   * Index up to which the log was known to be committed; the base of the log if
   * nothing later was stored.
   */
  readonly commitIndex: number;
}

/** Stores the ballot, log and snapshot of one member on its disk. */
export class RaftStorage {
  private constructor(
    private readonly wal: Wal,
    private readonly snapshotFile: ChecksummedFile,
    private readonly committedFile: ChecksummedFile,
  ) {}

  /** Opens the files on `disk` and recovers the durable state. */
  static async open(disk: Disk): Promise<Result<RecoveredState>> {
    const snapshotFile = new ChecksummedFile(disk, SNAPSHOT_FILE);
    const snapshotText = await snapshotFile.read();
    if (!snapshotText.ok) return snapshotText;
    const opened = await Wal.open(disk);
    if (!opened.ok) return opened;
    const snapshot = snapshotText.value
      ? (JSON.parse(snapshotText.value) as Snapshot)
      : undefined;
    const log = new RaftLog(snapshot ?? {index: 0, term: 0, members: []});
    let ballot: Ballot = {term: 0};
    for (const payload of opened.value.payloads) {
      const record = JSON.parse(payload.toString('utf8')) as StoredRecord;
      if ('ballot' in record) ballot = record.ballot;
      else if (record.entry.index > log.baseIndex)
        log.truncateAndAppend(record.entry);
    }
    const committedFile = new ChecksummedFile(disk, COMMITTED_FILE);
    const commitIndex = await readCommitIndex(committedFile, log);
    const storage = new RaftStorage(
      opened.value.wal,
      snapshotFile,
      committedFile,
    );
    return succeed({storage, ballot, log, snapshot, commitIndex});
  }

  /** Counters of the write-ahead log. */
  get stats(): Wal['stats'] {
    return this.wal.stats;
  }

  /** Size of the log on disk. */
  get logBytes(): number {
    return this.wal.segmentBytes;
  }

  appendEntry(entry: LogEntry): void {
    this.wal.append(encodeRecord({entry}));
  }

  appendBallot(ballot: Ballot): void {
    this.wal.append(encodeRecord({ballot}));
  }

  /** Resolves when everything appended so far is durable. */
  sync(): Promise<void> {
    return this.wal.sync();
  }

  /** Replaces the saved snapshot. */
  async saveSnapshot(snapshot: Snapshot): Promise<void> {
    await this.snapshotFile.write(JSON.stringify(snapshot));
  }

  /** Replaces the stored position up to which the log is committed. */
  async saveCommitted(position: LogPosition): Promise<void> {
    await this.committedFile.write(JSON.stringify(position));
  }

  /** Rewrites the log without the entries that a snapshot covers. */
  async compactLog(log: RaftLog, getBallot: () => Ballot): Promise<void> {
    // The payloads are read when the rotation runs, so that entries appended
    // while the snapshot was written are not lost with the old segment.
    await this.wal.rotate(() => [
      encodeRecord({ballot: getBallot()}),
      ...log.allEntries().map(entry => encodeRecord({entry})),
    ]);
  }

  async close(): Promise<void> {
    await this.wal.close();
  }
}

/**
 * Reads the stored commit index. A position that the log does not have, or that
 * cannot be read, is ignored: a leader will tell.
 */
async function readCommitIndex(
  file: ChecksummedFile,
  log: RaftLog,
): Promise<number> {
  const text = await file.read();
  if (!text.ok) {
    const reason = text.error.message;
    getLogger('consensus').warn('Ignored the stored commit index.', {reason});
    return log.baseIndex;
  }
  if (text.value === undefined) return log.baseIndex;
  const {index, term} = JSON.parse(text.value) as LogPosition;
  return log.termAt(index) === term ? index : log.baseIndex;
}

function encodeRecord(record: StoredRecord): Buffer {
  return Buffer.from(JSON.stringify(record));
}
