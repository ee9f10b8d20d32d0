import type {z} from 'zod';
import type {loadSpecSchema} from './load_spec_schema.js';

/** An experiment of `vmux-load`. */
export type LoadSpec = z.infer<typeof loadSpecSchema>;

/** One stream of requests with the same settings. */
export type LoadStream = LoadSpec['streams'][number];
