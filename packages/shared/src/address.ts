import type {z} from 'zod';
import type {addressSchema} from './address_schema.js';

/** An IP address and port that a process listens on or calls. */
export type Address = z.infer<typeof addressSchema>;
