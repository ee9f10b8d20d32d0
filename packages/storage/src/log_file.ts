/** An append-only file whose content lasts only once it is synced. */
export abstract class LogFile {
  /** Appends bytes at the end. */
  abstract append(bytes: Uint8Array): Promise<void>;
  /** Makes every appended byte durable. */
  abstract sync(): Promise<void>;
  /** Cuts the file to `length` bytes. */
  abstract truncate(length: number): Promise<void>;
  abstract close(): Promise<void>;
}
