import {z} from 'zod';
import {FrameKind} from './frame_kind.js';

/** One line of an engine's answer stream (newline-delimited JSON). */
export const frameSchema = z.object({
  kind: z.nativeEnum(FrameKind),
  requestId: z.string(),
  attempt: z.number().int(),
  /** Position of the token in the whole answer, from 0. */
  index: z.number().int().min(0).default(0),
  text: z.string().default(''),
  /** Prompt tokens found in the prefix cache, on the first token and done. */
  cachedTokens: z.number().int().min(0).optional(),
  message: z.string().optional(),
});
