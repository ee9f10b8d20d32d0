import {addressSchema} from '@vanillamux/shared';
import {z} from 'zod';

/** An entry host and the address that receives its placement notices. */
export const entryPeerSchema = z.object({
  id: z.string().min(1),
  failureDomain: z.string(),
  address: addressSchema,
});
