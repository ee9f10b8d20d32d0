import {z} from 'zod';

const MAX_PORT = 65_535;

/** An IP address and port that a process listens on or calls. */
export const addressSchema = z
  .object({
    host: z.string().min(1),
    port: z.number().int().min(0).max(MAX_PORT),
  })
  .strict();
