import {addressSchema} from '@vanillamux/shared';
import {z} from 'zod';
import {MemberRole} from './member_role.js';

/**
 * A member of the group. The id joins host and disk identity, so that a host
 * that lost its disk comes back as another member.
 */
export const memberSchema = z.object({
  id: z.string().min(1),
  hostId: z.string().min(1),
  failureDomain: z.string(),
  address: addressSchema,
  role: z.nativeEnum(MemberRole),
});
