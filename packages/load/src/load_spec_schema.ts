import {z} from 'zod';

const positive = z.number().positive();

/** One stream of like requests. */
const streamSchema = z
  .object({
    name: z.string().min(1),
    apiKey: z.string().min(1),
    model: z.string().min(1),
    requestsPerSecond: positive,
    /** Prompt lengths are drawn log-uniformly from this range. */
    minPromptTokens: z.number().int().positive(),
    maxPromptTokens: z.number().int().positive(),
    answerTokens: z.number().int().positive().default(16),
    /** Leading tokens that all prompts of the stream share. */
    sharedPrefixTokens: z.number().int().min(0).default(0),
    /** Seconds after the start between which the stream runs. */
    fromSecond: z.number().min(0).default(0),
    toSecond: positive.optional(),
  })
  .strict();

/** An experiment of `vmux-load`. */
export const loadSpecSchema = z
  .object({
    seed: z.number().int().default(1),
    durationSeconds: positive,
    /** First seconds whose requests are run but not counted. */
    warmUpSeconds: z.number().min(0).default(1),
    streams: z.array(streamSchema).min(1),
  })
  .strict();
