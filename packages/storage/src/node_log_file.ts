import type {FileHandle} from 'node:fs/promises';
import {sleep} from '@vanillamux/shared';
import {LogFile} from './log_file.js';

/** A log file on the file system. */
export class NodeLogFile extends LogFile {
  constructor(
    private readonly handle: FileHandle,
    private readonly syncDelayMs: number,
  ) {
    super();
  }

  async append(bytes: Uint8Array): Promise<void> {
    let written = 0;
    while (written < bytes.length) {
      const result = await this.handle.write(bytes, written);
      written += result.bytesWritten;
    }
  }

  async sync(): Promise<void> {
    await this.handle.datasync();
    if (this.syncDelayMs > 0) await sleep(this.syncDelayMs);
  }

  async truncate(length: number): Promise<void> {
    await this.handle.truncate(length);
  }

  async close(): Promise<void> {
    await this.handle.close();
  }
}
