import {emptiedDomainSchema} from '@vanillamux/protocol';
import {z} from 'zod';
import {EvacuationAction} from './evacuation_action.js';

/** Schema of an `EvacuationOrder`. */
export const evacuationOrderSchema = z.object({
  failureDomain: emptiedDomainSchema,
  action: z.nativeEnum(EvacuationAction),
});
