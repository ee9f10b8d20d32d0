import {z} from 'zod';

const MAX_ID_LENGTH = 128;

/** An incarnation of a backend server that leaves. */
export const departureFactSchema = z.object({
  backend: z.string().min(1).max(MAX_ID_LENGTH),
  incarnation: z.number(),
});
