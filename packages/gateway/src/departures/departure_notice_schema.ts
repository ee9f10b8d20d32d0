import {z} from 'zod';
import {departureFactSchema} from './departure_fact_schema.js';

/** Bound on what one notice may carry. */
const MAX_FACTS = 16;

/** Backend servers that leave. */
export const departureNoticeSchema = z.object({
  facts: z.array(departureFactSchema).max(MAX_FACTS),
});
