import type {z} from 'zod';
import type {presenceSchema} from './presence_schema.js';

/** One report of the life of a backend server. */
export type Presence = z.infer<typeof presenceSchema>;
