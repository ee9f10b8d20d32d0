import {z} from 'zod';

/** HTTP response of a service, stored to be replayed. */
export const storedResponseSchema = z.object({
  status: z.number().int(),
  contentType: z.string(),
  /** Body in base64. */
  body: z.string(),
});
