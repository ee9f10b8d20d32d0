import {z} from 'zod';

const positive = z.number().positive();

/** One stream of requests with the same settings. */
const streamSchema = z
  .object({
    name: z.string().min(1),
    apiKey: z.string().min(1),
    model: z.string().min(1),
    requestsPerSecond: positive,
    /** Range from which prompt lengths are sampled log-uniformly. */
    minPromptTokens: z.number().int().positive(),
    maxPromptTokens: z.number().int().positive(),
    answerTokens: z.number().int().positive().default(16),
    /** Leading tokens that all prompts of the stream share. */
    sharedPrefixTokens: z.number().int().min(0).default(0),
    /** Interval in which the stream sends, in seconds after the start. */
    fromSecond: z.number().min(0).default(0),
    toSecond: positive.optional(),
  })
  .strict();

/** An experiment of `vmux-load`. */
export const loadSpecSchema = z
  .object({
    seed: z.number().int().default(1),
    durationSeconds: positive,
    /** Initial period whose requests are sent but not counted. */
    warmUpSeconds: z.number().min(0).default(1),
    streams: z.array(streamSchema).min(1),
  })
  .strict();
