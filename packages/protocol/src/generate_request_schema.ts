import {z} from 'zod';

const tokenCount = z.number().int().min(0);

/** A part of a prompt that is too long for one engine. */
const segmentSchema = z.object({
  /** Tokens before this part, whose KV cache is imported. */
  importTokens: tokenCount,
  /** Hold the KV cache for the next parts instead of generating. */
  holdOnly: z.boolean(),
});

/** Body of `POST /v1/generate`, from an entry host to an engine. */
export const generateRequestSchema = z.object({
  requestId: z.string().min(1),
  /** Attempts of one request are numbered from 1. */
  attempt: z.number().int().min(1),
  model: z.string(),
  /** Prompt text, or empty for a segment whose KV is imported. */
  prompt: z.string(),
  promptTokens: tokenCount,
  /** Block hashes of the prompt, for the prefix cache. */
  blocks: z.array(z.string()),
  maxTokens: z.number().int().min(1),
  /** Tokens that earlier attempts already delivered. */
  deliveredTokens: tokenCount.default(0),
  priority: z.number().int().min(0),
  /** The engine releases the memory when no renewal comes for so long. */
  leaseMs: z.number().int().positive(),
  /** Set when the request is a part of a prompt that several engines hold. */
  segment: segmentSchema.optional(),
});
