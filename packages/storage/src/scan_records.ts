import {ErrorCodes, fail, succeed, VmuxError} from '@vanillamux/shared';
import type {Result} from '@vanillamux/shared';
import {decodeRecord} from './record_codec.js';

/** The intact records of a log file and the length they take. */
export interface ScannedLog {
  readonly payloads: Buffer[];
  /** Bytes after this offset are a torn tail that was never synced. */
  readonly intactBytes: number;
}

/**
 * Reads every record of a log file. Bytes that cannot be decoded at the end
 * are a torn tail. If a later record shows that they had been synced, the file
 * was damaged afterwards, and `LogDamaged` names the place.
 */
export function scanRecords(bytes: Buffer, name: string): Result<ScannedLog> {
  const payloads: Buffer[] = [];
  let offset = 0;
  while (offset < bytes.length) {
    const record = decodeRecord(bytes, offset);
    if (!record) break;
    payloads.push(record.payload);
    offset = record.end;
  }
  if (wasSyncedPast(bytes, offset)) {
    const message = `log file ${name} is damaged at byte ${offset}, before its tail; restore the host as a new member`;
    return fail(new VmuxError(ErrorCodes.LogDamaged, {message}));
  }
  return succeed({payloads, intactBytes: offset});
}

/** Whether an intact record after `offset` proves `offset` was durable. */
function wasSyncedPast(bytes: Buffer, offset: number): boolean {
  for (let position = offset; position < bytes.length; position++) {
    const record = decodeRecord(bytes, position);
    if (record && record.syncedBytes > offset) return true;
  }
  return false;
}
