import type {z} from 'zod';
import type {presenceSchema} from './presence_schema.js';

/** A report of the state of a backend server. */
export type Presence = z.infer<typeof presenceSchema>;
