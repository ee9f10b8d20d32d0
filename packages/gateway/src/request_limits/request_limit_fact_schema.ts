import {z} from 'zod';

const MAX_ID_LENGTH = 128;

/** What a host knows of the request limit of one backend server. */
export const requestLimitFactSchema = z.object({
  backend: z.string().min(1).max(MAX_ID_LENGTH),
  incarnation: z.number(),
  /** Number of changes of the limit so far; a higher one is newer. */
  generation: z.number().int().min(1),
  /** Requests a second from all hosts together; `null` if it names no limit. */
  perSecond: z.number().min(0).nullable(),
});
