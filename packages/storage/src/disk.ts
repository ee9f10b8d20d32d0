import type {LogFile} from './log_file.js';

/**
 * A folder of durable files, on the file system (`NodeDisk`) or in memory for
 * tests (`MemoryDisk`).
 */
export abstract class Disk {
  /** Lists the names of the files in the folder. */
  abstract list(): Promise<string[]>;
  /** Reads a file; resolves to `undefined` if it does not exist. */
  abstract read(name: string): Promise<Buffer | undefined>;
  /** Opens a file for appending; creates it if it does not exist. */
  abstract open(name: string): Promise<LogFile>;
  /** Replaces a file atomically and durably. */
  abstract replace(name: string, content: Uint8Array): Promise<void>;
  /** Renames a file and makes the new name durable. */
  abstract rename(from: string, to: string): Promise<void>;
  /** Removes a file if it exists; durable once the names are synced. */
  abstract remove(name: string): Promise<void>;
  /** Makes every file created, renamed or removed so far durable in name. */
  abstract syncNames(): Promise<void>;
}
