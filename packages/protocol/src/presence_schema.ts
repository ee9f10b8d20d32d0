import {addressSchema} from '@vanillamux/shared';
import {z} from 'zod';
import {PresenceState} from './presence_state.js';

/** A report of the state of a backend server. */
export const presenceSchema = z.object({
  id: z.string().min(1),
  /** Start of the process in Unix milliseconds; orders its incarnations. */
  incarnation: z.number().min(0),
  /** Orders the reports of one incarnation. */
  sequence: z.number().min(0),
  state: z.nativeEnum(PresenceState),
  service: z.string().min(1),
  address: addressSchema,
  failureDomain: z.string(),
  /** Maximum number of concurrent requests. */
  capacity: z.number().min(0),
});
