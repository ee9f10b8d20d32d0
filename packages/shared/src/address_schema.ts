import {z} from 'zod';
import {parseAddress} from './parse_address.js';

const MAX_PORT = 65_535;

const addressObjectSchema = z
  .object({
    host: z.string().min(1),
    port: z.number().int().min(0).max(MAX_PORT),
  })
  .strict();

/**
 * An IP address and port that a process listens on or calls, as an object or
 * as `HOST:PORT`.
 */
export const addressSchema = z.preprocess(
  value => (typeof value === 'string' ? parseAddress(value) : value),
  addressObjectSchema,
);
