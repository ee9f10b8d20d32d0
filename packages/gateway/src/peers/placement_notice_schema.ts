import {z} from 'zod';

const amount = z.number().min(0);

/** Backend server, incarnation, and the fields of `WorkItem` in order. */
const placedSchema = z.tuple([
  z.string(),
  amount,
  amount,
  amount,
  amount,
  amount,
  amount,
  amount,
]);

/** Work that an entry host has placed, or that has ended. */
export const placementNoticeSchema = z.object({
  from: z.string(),
  work: z.string(),
  /** Whether the receiver relays the notice within its failure domain. */
  relay: z.boolean(),
  placed: z.array(placedSchema),
  /** Backend servers on which the work has ended. */
  ended: z.array(z.string()).default([]),
});
