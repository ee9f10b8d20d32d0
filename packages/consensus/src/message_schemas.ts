import {z} from 'zod';
import {logEntrySchema} from './log_entry_schema.js';
import {memberSchema} from './member_schema.js';

const term = z.number().int().min(0);
const index = z.number().int().min(0);

/** Schemas of the messages between members. */
export const messageSchemas = {
  vote: z.object({
    term,
    candidateId: z.string(),
    lastIndex: index,
    lastTerm: term,
    /**
     * Whether this is a pre-vote, which asks if a vote would be granted and
     * changes no state.
     */
    preVote: z.boolean(),
  }),
  append: z.object({
    term,
    leaderId: z.string(),
    previousIndex: index,
    previousTerm: term,
    entries: z.array(logEntrySchema),
    commitIndex: index,
  }),
  snapshot: z.object({
    term,
    leaderId: z.string(),
    lastIndex: index,
    lastTerm: term,
    members: z.array(memberSchema),
    /** Character offset of this chunk in the serialized state. */
    offset: z.number().int().min(0),
    chunk: z.string(),
    done: z.boolean(),
  }),
};
