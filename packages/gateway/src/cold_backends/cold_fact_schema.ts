import {z} from 'zod';

const MAX_ID_LENGTH = 128;

/** How long a backend server stays cold, from when the fact is received. */
export const coldFactSchema = z.object({
  backend: z.string().min(1).max(MAX_ID_LENGTH),
  incarnation: z.number(),
  /** Report that says so; a later one replaces it. */
  sequence: z.number(),
  leftMs: z.number().min(0),
});
