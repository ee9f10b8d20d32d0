import {z} from 'zod';
import {coldFactSchema} from './cold_fact_schema.js';

/** Bound on what one notice may carry. */
const MAX_FACTS = 16;

/** Backend servers that are cold. */
export const coldNoticeSchema = z.object({
  facts: z.array(coldFactSchema).max(MAX_FACTS),
});
