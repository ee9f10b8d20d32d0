import type {LogFile} from './log_file.js';

/** One folder of durable files. The disk and its test double implement it. */
export abstract class Disk {
  /** Names of the files in the folder. */
  abstract list(): Promise<string[]>;
  /** Content of a file, or `undefined` when it does not exist. */
  abstract read(name: string): Promise<Buffer | undefined>;
  /** Opens a file for appending; creates it when absent. */
  abstract open(name: string): Promise<LogFile>;
  /** Replaces a file atomically and durably. */
  abstract replace(name: string, content: Uint8Array): Promise<void>;
  /** Renames a file and makes the new name durable. */
  abstract rename(from: string, to: string): Promise<void>;
  abstract remove(name: string): Promise<void>;
}
