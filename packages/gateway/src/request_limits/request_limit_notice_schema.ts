import {z} from 'zod';
import {coldFactSchema} from '../cold_backends/cold_fact_schema.js';
import {requestLimitFactSchema} from './request_limit_fact_schema.js';

/** Bound on what one notice may carry. */
const MAX_FACTS = 8;

/** Request limits, and permits to send to limited backend servers. */
export const requestLimitNoticeSchema = z.object({
  facts: z.array(requestLimitFactSchema).max(MAX_FACTS).default([]),
  /** Asks the owner of a limited backend server for a permit. */
  permitRequest: z
    .object({id: z.number().int(), fact: requestLimitFactSchema})
    .optional(),
  /**
   * Asks the owner of a cold backend server for a permit; one of an earlier
   * version doesn't reply.
   */
  coldPermitRequest: z
    .object({
      id: z.number().int(),
      cold: coldFactSchema,
      /** Its request limit, if it names one too. */
      limit: requestLimitFactSchema.optional(),
    })
    .optional(),
  /** Answers with the time until a permit is due; 0 grants one. */
  permitReply: z
    .object({id: z.number().int(), waitMs: z.number().min(0)})
    .optional(),
});
