import {z} from 'zod';

const DEFAULT_MAX_TOKENS = 64;
const MAX_OUTPUT_TOKENS = 32_768;

const messageSchema = z.object({
  role: z.string(),
  content: z.string(),
});

/** Body of `POST /v1/chat/completions`; unknown fields are ignored. */
export const chatRequestSchema = z.object({
  model: z.string().min(1),
  messages: z.array(messageSchema).min(1),
  max_tokens: z
    .number()
    .int()
    .positive()
    .max(MAX_OUTPUT_TOKENS)
    .default(DEFAULT_MAX_TOKENS),
  stream: z.boolean().default(false),
  /** Class of work, when it is not the one of the routing rule. */
  class: z.string().optional(),
});
