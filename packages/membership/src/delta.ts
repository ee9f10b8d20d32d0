import type {z} from 'zod';
import type {deltaSchema} from './delta_schema.js';

/** Batch of changes that an entry host sends to a peer. */
export type Delta = z.infer<typeof deltaSchema>;
