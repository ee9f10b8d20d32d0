import type {z} from 'zod';
import type {failureFactSchema} from './failure_fact_schema.js';

/** Failures that entry hosts have had from a backend server. */
export type FailureFact = Readonly<z.infer<typeof failureFactSchema>>;
