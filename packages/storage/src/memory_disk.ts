import {Disk} from './disk.js';
import {DiskOperation} from './disk_operation.js';
import {FaultPhase} from './fault_phase.js';
import {LogFile} from './log_file.js';

/** Decides whether an operation fails at a phase. */
type InjectFault = (operation: DiskOperation, phase: FaultPhase) => boolean;

/** Runs an operation as the disk allows it. */
type RunOperation = <T>(operation: DiskOperation, run: () => T) => T;

/** Content of a file and the length of the part that has been synced. */
interface MemoryFile {
  content: Buffer;
  syncedBytes: number;
}

/**
 * A folder in memory for failure tests: a power failure drops bytes that were
 * not synced, wholly or in part.
 */
export class MemoryDisk extends Disk {
  /**
   * Operations, reads excepted, that succeed before the power fails; later ones
   * throw.
   */
  remainingOperations = Number.POSITIVE_INFINITY;
  /**
   * Whether the disk is full: an append writes half of its bytes and fails, a
   * replacement fails.
   */
  isFull = false;
  /** Makes operations fail with ENOSPC; none by default. */
  injectFault: InjectFault = () => false;
  private readonly files = new Map<string, MemoryFile>();
  /**
   * What a power failure may bring back under the names that were changed since
   * the last sync of the folder: a file, or none.
   */
  private readonly revertible = new Map<string, MemoryFile | undefined>();

  async list(): Promise<string[]> {
    return [...this.files.keys()];
  }

  async read(name: string): Promise<Buffer | undefined> {
    const file = this.files.get(name);
    return file && Buffer.from(file.content);
  }

  async open(name: string): Promise<LogFile> {
    const file = this.run(DiskOperation.Open, () => {
      const opened = this.files.get(name) ?? {
        content: Buffer.alloc(0),
        syncedBytes: 0,
      };
      if (!this.files.has(name)) this.changeName(name, opened);
      return opened;
    });
    this.revertible.clear();
    return new MemoryLogFile(
      file,
      (operation, run) => this.run(operation, run),
      () => this.isFull,
    );
  }

  async replace(name: string, content: Uint8Array): Promise<void> {
    this.run(DiskOperation.Replace, () => {
      if (this.isFull) throw createError('ENOSPC');
      const bytes = Buffer.from(content);
      this.changeName(name, {content: bytes, syncedBytes: bytes.length});
    });
    this.revertible.clear();
  }

  async rename(from: string, to: string): Promise<void> {
    this.run(DiskOperation.Rename, () => {
      const file = this.files.get(from);
      if (!file) throw new Error(`no file ${from}`);
      this.changeName(from, undefined);
      this.changeName(to, file);
    });
    this.revertible.clear();
  }

  async remove(name: string): Promise<void> {
    this.run(DiskOperation.Remove, () => this.changeName(name, undefined));
  }

  async syncNames(): Promise<void> {
    this.run(DiskOperation.SyncNames, () => undefined);
    this.revertible.clear();
  }

  /**
   * Returns the disk after a power failure. `countSurvivingBytes` decides how
   * many unsynced bytes of each file survive, `revertsNames` whether names are
   * as before if their change was not synced.
   */
  crash(
    countSurvivingBytes: (unsyncedBytes: number) => number,
    revertsNames = false,
  ): MemoryDisk {
    const crashedDisk = new MemoryDisk();
    const files = revertsNames
      ? new Map([...this.files, ...this.revertible])
      : this.files;
    for (const [name, file] of files) {
      if (!file) continue;
      const {content, syncedBytes} = file;
      const unsynced = content.length - syncedBytes;
      const length =
        syncedBytes + Math.min(unsynced, countSurvivingBytes(unsynced));
      const survivingContent = Buffer.from(content.subarray(0, length));
      crashedDisk.files.set(name, {
        content: survivingContent,
        syncedBytes: survivingContent.length,
      });
    }
    return crashedDisk;
  }

  /** Inverts one bit of a file. */
  flipBit(name: string, bit: number): void {
    const file = this.files.get(name)!;
    const byteIndex = Math.floor(bit / 8) % file.content.length;
    file.content[byteIndex]! ^= 1 << (bit % 8);
  }

  private run<T>(operation: DiskOperation, run: () => T): T {
    if (this.remainingOperations <= 0) throw new Error('power failed');
    this.remainingOperations--;
    if (this.injectFault(operation, FaultPhase.Before))
      throw createError('ENOSPC');
    const result = run();
    if (this.injectFault(operation, FaultPhase.After))
      throw createError('ENOSPC');
    return result;
  }

  private changeName(name: string, file: MemoryFile | undefined): void {
    const previous = this.files.get(name);
    if (previous || !this.revertible.has(name))
      this.revertible.set(name, previous);
    if (file) this.files.set(name, file);
    else this.files.delete(name);
  }
}

function createError(code: string): Error {
  return Object.assign(new Error(code), {code});
}

class MemoryLogFile extends LogFile {
  private isClosed = false;

  constructor(
    private readonly file: MemoryFile,
    private readonly run: RunOperation,
    private readonly isFull: () => boolean,
  ) {
    super();
  }

  async append(bytes: Uint8Array): Promise<void> {
    if (this.isClosed) throw createError('EBADF');
    this.run(DiskOperation.Append, () => {
      const isFull = this.isFull();
      const written = isFull ? bytes.subarray(0, bytes.length / 2) : bytes;
      this.file.content = Buffer.concat([this.file.content, written]);
      if (isFull) throw createError('ENOSPC');
    });
  }

  async sync(): Promise<void> {
    this.run(DiskOperation.Sync, () => {
      this.file.syncedBytes = this.file.content.length;
    });
  }

  async truncate(length: number): Promise<void> {
    this.run(DiskOperation.Truncate, () => {
      this.file.content = this.file.content.subarray(0, length);
      this.file.syncedBytes = Math.min(this.file.syncedBytes, length);
    });
  }

  async close(): Promise<void> {
    this.run(DiskOperation.Close, () => {
      this.isClosed = true;
    });
  }
}
