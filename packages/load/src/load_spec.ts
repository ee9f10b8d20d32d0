import type {z} from 'zod';
import type {loadSpecSchema} from './load_spec_schema.js';

/** An experiment of `vmux-load`. */
export type LoadSpec = z.infer<typeof loadSpecSchema>;

/** One stream of like requests. */
export type LoadStream = LoadSpec['streams'][number];
