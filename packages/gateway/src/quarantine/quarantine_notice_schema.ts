import {z} from 'zod';

/** Bounds on what one notice may carry. */
const MAX_ID_LENGTH = 128;
const MAX_PARTS = 32;
const MAX_FACTS = 8;

const partSchema = z.string().min(1).max(MAX_ID_LENGTH);

const crashSchema = z.object({
  backend: z.string().max(MAX_ID_LENGTH),
  incarnation: z.number(),
  parts: z.array(partSchema).max(MAX_PARTS),
});

const factSchema = z.object({
  part: partSchema,
  generation: z.number().int().min(0),
  isLifted: z.boolean(),
  remainingMs: z.number().min(0),
});

/** Ends of backend servers, and what follows for prompt parts. */
export const quarantineNoticeSchema = z.object({
  crash: crashSchema.optional(),
  /** Suspect parts with which requests were answered lately. */
  sound: z.array(partSchema).max(MAX_PARTS).default([]),
  facts: z.array(factSchema).max(MAX_FACTS).default([]),
});
