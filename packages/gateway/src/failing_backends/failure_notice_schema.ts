import {z} from 'zod';
import {failureFactSchema} from './failure_fact_schema.js';

/** Bound on what one notice may carry. */
const MAX_FACTS = 16;

/** Backend servers that fail requests. */
export const failureNoticeSchema = z.object({
  facts: z.array(failureFactSchema).max(MAX_FACTS),
});
