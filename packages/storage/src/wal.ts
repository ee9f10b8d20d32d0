import {setImmediate as nextTurn} from 'node:timers/promises';
import {getLogger, sleep, succeed, type Result} from '@vanillamux/shared';
import type {Disk} from './disk.js';
import type {LogFile} from './log_file.js';
import {isTransientDiskError} from './is_transient_disk_error.js';
import {encodeRecord} from './record_codec.js';
import {scanRecords} from './scan_records.js';

const SEGMENT_PATTERN = /^segment-(\d{10})\.wal$/;
const SEGMENT_DIGITS = 10;
/** Delay before a write is retried after a transient disk error. */
const WRITE_RETRY_DELAY_MS = 100;

const log = getLogger('storage');

/** Counters of a write-ahead log since it was opened. */
export interface WalStats {
  records: number;
  syncs: number;
  bytes: number;
}

/** An opened log with the payloads that it held. */
export interface OpenedWal {
  readonly wal: Wal;
  readonly payloads: Buffer[];
}

/**
 * A write-ahead log with group commit: records appended while a sync runs are
 * made durable together by the next one.
 */
export class Wal {
  readonly stats: WalStats = {records: 0, syncs: 0, bytes: 0};
  private pendingPayloads: Uint8Array[] = [];
  private pendingFlush?: Promise<void>;
  private lastOperation: Promise<void> = Promise.resolve();

  private constructor(
    private readonly disk: Disk,
    private file: LogFile,
    private segment: number,
    private syncedBytes: number,
  ) {}

  /**
   * Opens the newest segment, truncates its torn tail and removes older
   * segments. Returns the payloads of the intact records.
   */
  static async open(disk: Disk): Promise<Result<OpenedWal>> {
    const segments = await listSegments(disk);
    const segment = segments.at(-1) ?? 1;
    const name = segmentName(segment);
    const bytes = (await disk.read(name)) ?? Buffer.alloc(0);
    const scanned = scanRecords(bytes, name);
    if (!scanned.ok) return scanned;
    const {payloads, intactBytes} = scanned.value;
    const file = await disk.open(name);
    if (intactBytes < bytes.length) await file.truncate(intactBytes);
    await file.sync();
    for (const oldSegment of segments.slice(0, -1)) {
      await disk.remove(segmentName(oldSegment));
    }
    const wal = new Wal(disk, file, segment, intactBytes);
    return succeed({wal, payloads});
  }

  /** Durable length of the current segment in bytes. */
  get segmentBytes(): number {
    return this.syncedBytes;
  }

  /** Queues a record, which is durable once a later `sync` resolves. */
  append(payload: Uint8Array): void {
    this.pendingPayloads.push(payload);
  }

  /** Resolves when every record appended so far is durable. */
  sync(): Promise<void> {
    this.pendingFlush ??= this.enqueueOperation(async () => {
      // Records appended in the same turn of the event loop share the sync.
      await nextTurn();
      this.pendingFlush = undefined;
      await this.flush();
    });
    return this.pendingFlush;
  }

  /**
   * Replaces the current segment by a new one that starts with `payloads`.
   * Pending records are written to the new segment.
   */
  rotate(payloads: () => Uint8Array[]): Promise<void> {
    return this.enqueueOperation(() => this.startSegment(payloads()));
  }

  /** Flushes and closes the log. */
  async close(): Promise<void> {
    await this.sync();
    await this.file.close();
  }

  private enqueueOperation(operation: () => Promise<void>): Promise<void> {
    const completion = this.lastOperation.then(operation);
    // After a transient disk error the log continues as it was. Any other
    // failure may have lost records, so all later operations are rejected and
    // nothing more is acknowledged.
    this.lastOperation = completion.catch((error: unknown) => {
      if (!isTransientDiskError(error)) throw error;
    });
    // Callers receive the error through `completion`; without this handler the
    // chain would add an unhandled rejection.
    this.lastOperation.catch(() => undefined);
    return completion;
  }

  private async flush(): Promise<void> {
    if (this.pendingPayloads.length === 0) return;
    const payloads = this.pendingPayloads;
    this.pendingPayloads = [];
    const bytes = Buffer.concat(
      payloads.map(payload => encodeRecord(payload, this.syncedBytes)),
    );
    await this.writeAndSync(bytes);
    this.syncedBytes += bytes.length;
    this.stats.records += payloads.length;
    this.stats.bytes += bytes.length;
    this.stats.syncs++;
  }

  /** Appends and syncs bytes; retries transient disk errors without limit. */
  private async writeAndSync(bytes: Uint8Array): Promise<void> {
    await retryTransientErrors(async hasFailed => {
      // The remains of a failed write would look like corruption later.
      if (hasFailed) await this.file.truncate(this.syncedBytes);
      await this.file.append(bytes);
      await this.file.sync();
    });
  }

  private async startSegment(payloads: Uint8Array[]): Promise<void> {
    const nextSegment = this.segment + 1;
    const bytes = Buffer.concat(
      payloads.map(payload => encodeRecord(payload, 0)),
    );
    const nextFile = await this.createSegment(segmentName(nextSegment), bytes);
    const previous = {file: this.file, name: segmentName(this.segment)};
    this.file = nextFile;
    this.segment = nextSegment;
    this.syncedBytes = bytes.length;
    await this.removeSegment(previous.file, previous.name);
  }

  /** Creates a segment durably and opens it; leaves none behind if it fails. */
  private async createSegment(
    name: string,
    bytes: Uint8Array,
  ): Promise<LogFile> {
    try {
      await this.disk.replace(name, bytes);
      return await this.disk.open(name);
    } catch (error) {
      if (!isTransientDiskError(error)) throw error;
      // A restart would open this segment and miss all that is written to the
      // current one from now on.
      await retryTransientErrors(async () => {
        await this.disk.remove(name);
        await this.disk.syncNames();
      });
      throw error;
    }
  }

  /** Removes a segment that has a successor; `open` removes what is left. */
  private async removeSegment(file: LogFile, name: string): Promise<void> {
    try {
      await file.close();
      await this.disk.remove(name);
    } catch (error) {
      if (!isTransientDiskError(error)) throw error;
      const reason = (error as Error).message;
      log.warn('Could not remove an old log segment.', {name, reason});
    }
  }
}

/**
 * Repeats an operation while a disk is full or failing, without limit. The
 * operation is told whether it has failed before.
 */
async function retryTransientErrors(
  operation: (hasFailed: boolean) => Promise<void>,
): Promise<void> {
  let hasFailed = false;
  for (;;) {
    try {
      await operation(hasFailed);
      if (hasFailed) log.info('Disk writes succeed again.');
      return;
    } catch (error) {
      if (!isTransientDiskError(error)) throw error;
      const reason = (error as Error).message;
      if (!hasFailed) log.warn('A disk write failed; retrying.', {reason});
      hasFailed = true;
      await sleep(WRITE_RETRY_DELAY_MS);
    }
  }
}

async function listSegments(disk: Disk): Promise<number[]> {
  const names = await disk.list();
  return names
    .map(name => SEGMENT_PATTERN.exec(name)?.[1])
    .filter(digits => digits !== undefined)
    .map(Number)
    .sort((a, b) => a - b);
}

function segmentName(segment: number): string {
  return `segment-${String(segment).padStart(SEGMENT_DIGITS, '0')}.wal`;
}
