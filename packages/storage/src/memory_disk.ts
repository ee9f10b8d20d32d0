import {Disk} from './disk.js';
import {LogFile} from './log_file.js';

/** A file with the part of it that has been synced. */
interface MemoryFile {
  content: Buffer;
  syncedBytes: number;
}

/**
 * A folder in memory, for tests of failures: it forgets or tears what was not
 * synced when its power fails.
 */
export class MemoryDisk extends Disk {
  /** Operations left before the power fails; writes fail from then on. */
  operationsLeft = Number.POSITIVE_INFINITY;
  /** A full disk takes a part of each write and refuses the rest. */
  isFull = false;
  private readonly files = new Map<string, MemoryFile>();

  async list(): Promise<string[]> {
    return [...this.files.keys()];
  }

  async read(name: string): Promise<Buffer | undefined> {
    const file = this.files.get(name);
    return file && Buffer.from(file.content);
  }

  async open(name: string): Promise<LogFile> {
    this.spend();
    const file = this.files.get(name) ?? {
      content: Buffer.alloc(0),
      syncedBytes: 0,
    };
    this.files.set(name, file);
    return new MemoryLogFile(
      file,
      () => this.spend(),
      () => this.isFull,
    );
  }

  async replace(name: string, content: Uint8Array): Promise<void> {
    this.spend();
    if (this.isFull) throw Object.assign(new Error('full'), {code: 'ENOSPC'});
    const bytes = Buffer.from(content);
    this.files.set(name, {content: bytes, syncedBytes: bytes.length});
  }

  async rename(from: string, to: string): Promise<void> {
    this.spend();
    const file = this.files.get(from);
    if (!file) throw new Error(`no file ${from}`);
    this.files.delete(from);
    this.files.set(to, file);
  }

  async remove(name: string): Promise<void> {
    this.spend();
    this.files.delete(name);
  }

  /** The disk after a power failure; `keep` bytes past the sync survive. */
  crash(keep: (unsyncedBytes: number) => number): MemoryDisk {
    const survivor = new MemoryDisk();
    for (const [name, {content, syncedBytes}] of this.files) {
      const unsynced = content.length - syncedBytes;
      const length = syncedBytes + Math.min(unsynced, keep(unsynced));
      const kept = Buffer.from(content.subarray(0, length));
      survivor.files.set(name, {content: kept, syncedBytes: kept.length});
    }
    return survivor;
  }

  /** Inverts one bit of a file. */
  flipBit(name: string, bit: number): void {
    const file = this.files.get(name)!;
    const at = Math.floor(bit / 8) % file.content.length;
    file.content[at]! ^= 1 << (bit % 8);
  }

  private spend(): void {
    if (this.operationsLeft <= 0) throw new Error('power failed');
    this.operationsLeft--;
  }
}

class MemoryLogFile extends LogFile {
  constructor(
    private readonly file: MemoryFile,
    private readonly spend: () => void,
    private readonly isFull: () => boolean,
  ) {
    super();
  }

  async append(bytes: Uint8Array): Promise<void> {
    this.spend();
    const taken = this.isFull() ? bytes.subarray(0, bytes.length / 2) : bytes;
    this.file.content = Buffer.concat([this.file.content, taken]);
    if (this.isFull()) throw Object.assign(new Error('full'), {code: 'ENOSPC'});
  }

  async sync(): Promise<void> {
    this.spend();
    this.file.syncedBytes = this.file.content.length;
  }

  async truncate(length: number): Promise<void> {
    this.spend();
    this.file.content = this.file.content.subarray(0, length);
    this.file.syncedBytes = Math.min(this.file.syncedBytes, length);
  }

  async close(): Promise<void> {}
}
