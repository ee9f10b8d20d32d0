import type {z} from 'zod';
import type {memberSchema} from './member_schema.js';

/** A member of the group. */
export type Member = z.infer<typeof memberSchema>;
