import {createHash} from 'node:crypto';
import type {RecordEntry} from './record_entry.js';

/** Previous hash of the first entry of a chain. */
export const EMPTY_CHAIN_HASH = '0'.repeat(64);

/**
 * Computes the SHA-256 of every field except `hash`. Sorts the fields by name,
 * so that their order in JSON does not matter.
 */
export function hashRecordEntry(entry: Omit<RecordEntry, 'hash'>): string {
  const fields = Object.entries(entry)
    .filter(([name, value]) => name !== 'hash' && value !== undefined)
    .sort(([a], [b]) => (a < b ? -1 : 1));
  return createHash('sha256').update(JSON.stringify(fields)).digest('hex');
}
