import type {z} from 'zod';
import type {recordEntrySchema} from './record_entry_schema.js';

/** An entry of the record. */
export type RecordEntry = z.infer<typeof recordEntrySchema>;

/** Figures of one candidate that a routing decision is based on. */
export type RecordedCandidate = NonNullable<RecordEntry['candidates']>[number];

/** Fields of a record entry that its writer supplies. */
export type RecordContent = Omit<
  RecordEntry,
  'chain' | 'sequence' | 'at' | 'previousHash' | 'hash' | 'failureDomain'
>;
