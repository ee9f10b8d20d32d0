import {z} from 'zod';

const MAX_SERVICES = 64;
const MAX_NAME_LENGTH = 128;

/** Services that the sender of a notice does not reach. */
export const reachNoticeSchema = z.object({
  lost: z.array(z.string().max(MAX_NAME_LENGTH)).max(MAX_SERVICES),
});
