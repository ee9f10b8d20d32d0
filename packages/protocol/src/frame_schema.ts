import {z} from 'zod';
import {FrameKind} from './frame_kind.js';

/** A line of an engine's response stream (newline-delimited JSON). */
export const frameSchema = z.object({
  kind: z.nativeEnum(FrameKind),
  requestId: z.string(),
  attempt: z.number().int(),
  /** Position of the token among all output tokens, from 0. */
  index: z.number().int().min(0).default(0),
  text: z.string().default(''),
  /**
   * Prompt tokens found in the prefix cache; in the first `token` frame and in
   * the `done` frame.
   */
  cachedTokens: z.number().int().min(0).optional(),
  message: z.string().optional(),
});
