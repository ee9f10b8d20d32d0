import type {z} from 'zod';
import type {recordEntrySchema} from './record_entry_schema.js';

/** One entry of the record. */
export type RecordEntry = z.infer<typeof recordEntrySchema>;

/** The figures that a routing decision saw for one candidate. */
export type RecordedCandidate = NonNullable<RecordEntry['candidates']>[number];

/** The part of a record entry that its writer supplies. */
export type RecordContent = Omit<
  RecordEntry,
  'chain' | 'sequence' | 'at' | 'previousHash' | 'hash' | 'failureDomain'
>;
