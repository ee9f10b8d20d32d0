import {setImmediate as nextTurn} from 'node:timers/promises';
import {getLogger, sleep, succeed, type Result} from '@vanillamux/shared';
import type {Disk} from './disk.js';
import type {LogFile} from './log_file.js';
import {isTransientDiskError} from './is_transient_disk_error.js';
import {encodeRecord} from './record_codec.js';
import {scanRecords} from './scan_records.js';

const SEGMENT_PATTERN = /^segment-(\d{10})\.wal$/;
const SEGMENT_DIGITS = 10;
/** Wait before a write that a full disk refused is tried again. */
const WRITE_RETRY_DELAY_MS = 100;

const log = getLogger('storage');

/** Counters of a write-ahead log, since it was opened. */
export interface WalStats {
  records: number;
  syncs: number;
  bytes: number;
}

/** A log together with the records found when it was opened. */
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

  /** Opens the newest segment, cuts a torn tail and returns its records. */
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

  /** Length of the present segment. */
  get segmentBytes(): number {
    return this.syncedBytes;
  }

  /** Adds a record; it is durable once a later `sync` resolves. */
  append(payload: Uint8Array): void {
    this.pendingPayloads.push(payload);
  }

  /** Resolves when every record appended so far is durable. */
  sync(): Promise<void> {
    this.pendingFlush ??= this.enqueueOperation(async () => {
      // Whatever else arrived in this turn of the event loop joins the sync.
      await nextTurn();
      this.pendingFlush = undefined;
      await this.flush();
    });
    return this.pendingFlush;
  }

  /**
   * Starts a new segment that holds `payloads` and drops the older ones.
   * Records still queued follow in the new segment.
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
    // After a refused step the log goes on as it was. Any other failure may
    // have lost records, so that nothing later may be acknowledged.
    this.lastOperation = completion.catch((error: unknown) => {
      if (!isTransientDiskError(error)) throw error;
    });
    // Each caller is told through `done`; the chain itself has no listener.
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

  /** Writes and syncs, however long the disk refuses to. */
  private async writeAndSync(bytes: Uint8Array): Promise<void> {
    let hasFailed = false;
    for (;;) {
      try {
        // What a refused write has left behind would look like damage.
        if (hasFailed) await this.file.truncate(this.syncedBytes);
        await this.file.append(bytes);
        await this.file.sync();
        if (hasFailed) log.info('The disk takes writes again.');
        return;
      } catch (error) {
        if (!isTransientDiskError(error)) throw error;
        const reason = (error as Error).message;
        if (!hasFailed) log.warn('The disk refuses writes.', {reason});
        hasFailed = true;
        await sleep(WRITE_RETRY_DELAY_MS);
      }
    }
  }

  private async startSegment(payloads: Uint8Array[]): Promise<void> {
    const nextSegment = this.segment + 1;
    const bytes = Buffer.concat(
      payloads.map(payload => encodeRecord(payload, 0)),
    );
    await this.disk.replace(segmentName(nextSegment), bytes);
    await this.file.close();
    this.file = await this.disk.open(segmentName(nextSegment));
    await this.disk.remove(segmentName(this.segment));
    this.segment = nextSegment;
    this.syncedBytes = bytes.length;
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
