import {z} from 'zod';

const MAX_ID_LENGTH = 128;

/** Failures that entry hosts have had from a backend server. */
export const failureFactSchema = z.object({
  backend: z.string().min(1).max(MAX_ID_LENGTH),
  incarnation: z.number(),
  /** Number of failures, fewer by their age. */
  weight: z.number().min(0),
  /** Age of the latest one. */
  ageMs: z.number().min(0),
});
