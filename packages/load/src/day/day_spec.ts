import type {z} from 'zod';
import type {daySpecSchema} from './day_spec_schema.js';

/** A day to simulate: engines, entry hosts and the arriving requests. */
export type DaySpec = z.infer<typeof daySpecSchema>;

/** A class of requests with the same sizes, goals and credit. */
export type RequestClass = DaySpec['classes'][number];
