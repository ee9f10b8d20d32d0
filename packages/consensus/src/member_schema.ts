import {addressSchema} from '@vanillamux/shared';
import {z} from 'zod';
import {MemberRole} from './member_role.js';

/**
 * Schema of a `Member`. The id combines the ids of host and disk, so that a
 * host that lost its disk rejoins as a different member.
 */
export const memberSchema = z.object({
  id: z.string().min(1),
  hostId: z.string().min(1),
  failureDomain: z.string(),
  address: addressSchema,
  role: z.nativeEnum(MemberRole),
  /**
   * Level of the commands that its state machine knows. Members of earlier
   * builds don't state it, and know those of level 0.
   */
  commandLevel: z.number().int().min(0).optional(),
  /**
   * Most voters of the group that were in contact with a leader at the same time,
   * the same on every member of a list. Lists of earlier builds don't state it.
   */
  groupSize: z.number().int().min(1).optional(),
});
