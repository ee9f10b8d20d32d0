import type {z} from 'zod';
import type {logEntrySchema} from './log_entry_schema.js';

/** Entry of the replicated log. */
export type LogEntry = z.infer<typeof logEntrySchema>;
