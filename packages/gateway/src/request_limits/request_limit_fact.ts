import type {z} from 'zod';
import type {requestLimitFactSchema} from './request_limit_fact_schema.js';

/** What a host knows of the request limit of one backend server. */
export type RequestLimitFact = Readonly<z.infer<typeof requestLimitFactSchema>>;
