import {Disk} from './disk.js';
import {LogFile} from './log_file.js';

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
  private readonly files = new Map<string, MemoryFile>();
  /** Removed files whose removal a power failure may still undo. */
  private readonly removed = new Map<string, MemoryFile>();

  async list(): Promise<string[]> {
    return [...this.files.keys()];
  }

  async read(name: string): Promise<Buffer | undefined> {
    const file = this.files.get(name);
    return file && Buffer.from(file.content);
  }

  async open(name: string): Promise<LogFile> {
    this.consumeOperation();
    const file = this.files.get(name) ?? {
      content: Buffer.alloc(0),
      syncedBytes: 0,
    };
    this.files.set(name, file);
    this.removed.clear();
    return new MemoryLogFile(
      file,
      () => this.consumeOperation(),
      () => this.isFull,
    );
  }

  async replace(name: string, content: Uint8Array): Promise<void> {
    this.consumeOperation();
    if (this.isFull) throw Object.assign(new Error('full'), {code: 'ENOSPC'});
    const bytes = Buffer.from(content);
    this.files.set(name, {content: bytes, syncedBytes: bytes.length});
    this.removed.clear();
  }

  async rename(from: string, to: string): Promise<void> {
    this.consumeOperation();
    const file = this.files.get(from);
    if (!file) throw new Error(`no file ${from}`);
    this.files.delete(from);
    this.files.set(to, file);
    this.removed.clear();
  }

  async remove(name: string): Promise<void> {
    this.consumeOperation();
    const file = this.files.get(name);
    if (file) this.removed.set(name, file);
    this.files.delete(name);
  }

  /**
   * Returns the disk after a power failure. `countSurvivingBytes` decides how
   * many unsynced bytes of each file survive, `restoresRemoved` whether files
   * return whose removal was not synced.
   */
  crash(
    countSurvivingBytes: (unsyncedBytes: number) => number,
    restoresRemoved = false,
  ): MemoryDisk {
    const crashedDisk = new MemoryDisk();
    const files = restoresRemoved
      ? new Map([...this.removed, ...this.files])
      : this.files;
    for (const [name, {content, syncedBytes}] of files) {
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

  private consumeOperation(): void {
    if (this.remainingOperations <= 0) throw new Error('power failed');
    this.remainingOperations--;
  }
}

class MemoryLogFile extends LogFile {
  constructor(
    private readonly file: MemoryFile,
    private readonly consumeOperation: () => void,
    private readonly isFull: () => boolean,
  ) {
    super();
  }

  async append(bytes: Uint8Array): Promise<void> {
    this.consumeOperation();
    const written = this.isFull() ? bytes.subarray(0, bytes.length / 2) : bytes;
    this.file.content = Buffer.concat([this.file.content, written]);
    if (this.isFull()) throw Object.assign(new Error('full'), {code: 'ENOSPC'});
  }

  async sync(): Promise<void> {
    this.consumeOperation();
    this.file.syncedBytes = this.file.content.length;
  }

  async truncate(length: number): Promise<void> {
    this.consumeOperation();
    this.file.content = this.file.content.subarray(0, length);
    this.file.syncedBytes = Math.min(this.file.syncedBytes, length);
  }

  async close(): Promise<void> {}
}
