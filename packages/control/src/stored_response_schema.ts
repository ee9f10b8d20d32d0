import {z} from 'zod';

/** The answer of a service, kept to be replayed. */
export const storedResponseSchema = z.object({
  status: z.number().int(),
  contentType: z.string(),
  /** Body in base64. */
  body: z.string(),
});
