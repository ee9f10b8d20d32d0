import {deflateRawSync} from 'node:zlib';

/** Compresses a value for a `Packed` message. */
export function packJson(value: unknown): string {
  return deflateRawSync(JSON.stringify(value)).toString('base64');
}
