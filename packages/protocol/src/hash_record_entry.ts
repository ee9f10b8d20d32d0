import {createHash} from 'node:crypto';
import type {RecordEntry} from './record_entry.js';

/** Hash before the first entry of a chain. */
export const EMPTY_CHAIN_HASH = '0'.repeat(64);

/**
 * SHA-256 over every field but `hash`, with the field names sorted, so that
 * the order in which JSON carries them does not matter.
 */
export function hashRecordEntry(entry: Omit<RecordEntry, 'hash'>): string {
  const fields = Object.entries(entry)
    .filter(([name, value]) => name !== 'hash' && value !== undefined)
    .sort(([a], [b]) => (a < b ? -1 : 1));
  return createHash('sha256').update(JSON.stringify(fields)).digest('hex');
}
