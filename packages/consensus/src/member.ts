import type {z} from 'zod';
import type {memberSchema} from './member_schema.js';

/** Voter or learner of a group. */
export type Member = z.infer<typeof memberSchema>;
