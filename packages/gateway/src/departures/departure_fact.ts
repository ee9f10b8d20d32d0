import type {z} from 'zod';
import type {departureFactSchema} from './departure_fact_schema.js';

/** An incarnation of a backend server that leaves. */
export type DepartureFact = Readonly<z.infer<typeof departureFactSchema>>;
