/** An append-only file whose content is durable only after a sync. */
export abstract class LogFile {
  abstract append(bytes: Uint8Array): Promise<void>;
  /** Makes every appended byte durable. */
  abstract sync(): Promise<void>;
  abstract truncate(length: number): Promise<void>;
  abstract close(): Promise<void>;
}
