import type {z} from 'zod';
import type {coldFactSchema} from './cold_fact_schema.js';

/** How long a backend server stays cold, from when the fact is received. */
export type ColdFact = Readonly<z.infer<typeof coldFactSchema>>;
