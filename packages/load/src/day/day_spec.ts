import type {z} from 'zod';
import type {daySpecSchema} from './day_spec_schema.js';

/** A virtual day: engines, entry hosts and the requests that come. */
export type DaySpec = z.infer<typeof daySpecSchema>;

/** Requests of one kind. */
export type RequestClass = DaySpec['classes'][number];
