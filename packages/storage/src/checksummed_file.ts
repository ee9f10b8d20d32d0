import {
  ErrorCodes,
  fail,
  succeed,
  VmuxError,
  type Result,
} from '@vanillamux/shared';
import type {Disk} from './disk.js';
import {decodeRecord, encodeRecord} from './record_codec.js';

/** A small file that is replaced as a whole and carries a checksum. */
export class ChecksummedFile {
  constructor(
    private readonly disk: Disk,
    private readonly name: string,
  ) {}

  /** Reads the text; `undefined` when absent, `LogDamaged` when corrupt. */
  async read(): Promise<Result<string | undefined>> {
    const bytes = await this.disk.read(this.name);
    if (!bytes) return succeed(undefined);
    const record = decodeRecord(bytes, 0);
    if (record && record.end === bytes.length) {
      return succeed(record.payload.toString('utf8'));
    }
    const message = `file ${this.name} fails its checksum; restore the host as a new member`;
    return fail(new VmuxError(ErrorCodes.LogDamaged, {message}));
  }

  /** Replaces the text atomically and durably. */
  async write(text: string): Promise<void> {
    await this.disk.replace(this.name, encodeRecord(Buffer.from(text), 0));
  }
}
