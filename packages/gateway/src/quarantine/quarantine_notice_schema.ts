import {z} from 'zod';

/** Bounds on what one notice may carry. */
const MAX_ID_LENGTH = 128;
const MAX_PARTS = 32;
/** All parts of a prompt, and the request itself. */
const MAX_SUSPECTS = MAX_PARTS + 1;
const MAX_FACTS = 8;
const MAX_CRASHES = 3;

const suspectSchema = z.string().min(1).max(MAX_ID_LENGTH);

const crashSchema = z.object({
  backend: z.string().max(MAX_ID_LENGTH),
  incarnation: z.number(),
  service: z.string().max(MAX_ID_LENGTH).optional(),
  request: suspectSchema.optional(),
  parts: z.array(suspectSchema).max(MAX_PARTS),
  /** Time since the end. */
  ageMs: z.number().min(0),
});

const factSchema = z.object({
  suspect: suspectSchema,
  generation: z.number().int().min(0),
  isLifted: z.boolean(),
  remainingMs: z.number().min(0),
});

/** Ends of backend servers, and what follows for suspects. */
export const quarantineNoticeSchema = z.object({
  crashes: z.array(crashSchema).max(MAX_CRASHES).default([]),
  /** Suspects that were answered lately. */
  sound: z.array(suspectSchema).max(MAX_SUSPECTS).default([]),
  facts: z.array(factSchema).max(MAX_FACTS).default([]),
});
