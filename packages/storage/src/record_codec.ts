import {crc32} from 'node:zlib';

const MAGIC = 0x564d5831;
const CRC_OFFSET = 4;
const LENGTH_OFFSET = 8;
const SYNCED_OFFSET = 12;

/** Bytes before the payload: magic, CRC-32, length, synced length. */
export const RECORD_HEADER_BYTES = 20;

/** A record decoded from a log file. */
export interface DecodedRecord {
  readonly payload: Buffer;
  /** Length of the durable part of the file when the record was encoded. */
  readonly syncedBytes: number;
  /** Offset of the first byte after the record. */
  readonly end: number;
}

/** Encodes a payload with its checksummed header. */
export function encodeRecord(payload: Uint8Array, syncedBytes: number): Buffer {
  const record = Buffer.allocUnsafe(RECORD_HEADER_BYTES + payload.length);
  record.writeUInt32BE(MAGIC, 0);
  record.writeUInt32BE(payload.length, LENGTH_OFFSET);
  record.writeBigUInt64BE(BigInt(syncedBytes), SYNCED_OFFSET);
  record.set(payload, RECORD_HEADER_BYTES);
  record.writeUInt32BE(crc32(record.subarray(LENGTH_OFFSET)), CRC_OFFSET);
  return record;
}

/** Decodes the record at `offset`; returns `undefined` if none is intact. */
export function decodeRecord(
  bytes: Buffer,
  offset: number,
): DecodedRecord | undefined {
  if (offset + RECORD_HEADER_BYTES > bytes.length) return undefined;
  if (bytes.readUInt32BE(offset) !== MAGIC) return undefined;
  const length = bytes.readUInt32BE(offset + LENGTH_OFFSET);
  const end = offset + RECORD_HEADER_BYTES + length;
  if (end > bytes.length) return undefined;
  const checksum = crc32(bytes.subarray(offset + LENGTH_OFFSET, end));
  if (checksum !== bytes.readUInt32BE(offset + CRC_OFFSET)) return undefined;
  return {
    payload: bytes.subarray(offset + RECORD_HEADER_BYTES, end),
    syncedBytes: Number(bytes.readBigUInt64BE(offset + SYNCED_OFFSET)),
    end,
  };
}
