import type {z} from 'zod';
import type {evacuationViewSchema} from './evacuation_view_schema.js';

/** Failure domains that an operator has emptied, at a revision. */
export type EvacuationView = z.infer<typeof evacuationViewSchema>;
