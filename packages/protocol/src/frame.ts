import type {z} from 'zod';
import type {frameSchema} from './frame_schema.js';

/** One frame of an engine's answer stream. */
export type Frame = z.infer<typeof frameSchema>;
