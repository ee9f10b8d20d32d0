import type {z} from 'zod';
import type {deltaSchema} from './delta_schema.js';

/** A batch of changes that entry hosts send to each other. */
export type Delta = z.infer<typeof deltaSchema>;
