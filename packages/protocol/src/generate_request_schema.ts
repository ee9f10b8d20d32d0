import {z} from 'zod';

const tokenCount = z.number().int().min(0);

/** A segment of a prompt that is too long for one engine. */
const segmentSchema = z.object({
  /** Prompt tokens before this segment, whose KV cache is imported. */
  importTokens: tokenCount,
  /** Whether to hold the KV cache for the next segments and not to generate. */
  holdOnly: z.boolean(),
});

/** Body of `POST /v1/generate`, from an entry host to an engine. */
export const generateRequestSchema = z.object({
  requestId: z.string().min(1),
  /** Attempts of one request are numbered from 1. */
  attempt: z.number().int().min(1),
  model: z.string(),
  /** Prompt text; empty for a segment whose KV cache is imported. */
  prompt: z.string(),
  promptTokens: tokenCount,
  /** Block hashes of the prompt, for the prefix cache. */
  blocks: z.array(z.string()),
  maxTokens: z.number().int().min(1),
  /** Output tokens that earlier attempts have delivered. */
  deliveredTokens: tokenCount.default(0),
  priority: z.number().int().min(0),
  /** Time without a renewal after which the engine releases the memory. */
  leaseMs: z.number().int().positive(),
  /** Set when the prompt is split into segments held by several engines. */
  segment: segmentSchema.optional(),
});
