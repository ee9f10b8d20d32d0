import {z} from 'zod';
import {EntryKind} from './entry_kind.js';

/** Schema of a `LogEntry`. */
export const logEntrySchema = z.object({
  index: z.number().int(),
  term: z.number().int(),
  kind: z.nativeEnum(EntryKind),
  /** Serialized command or member list. */
  data: z.string(),
});
