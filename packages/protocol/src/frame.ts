import type {z} from 'zod';
import type {frameSchema} from './frame_schema.js';

/** A frame of an engine's response stream. */
export type Frame = z.infer<typeof frameSchema>;
