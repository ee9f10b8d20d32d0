import {z} from 'zod';

const nonNegativeSchema = z.number().min(0);

/** Backend server, incarnation, and the fields of `WorkItem` in turn. */
const placedWorkSchema = z.tuple([
  z.string(),
  nonNegativeSchema,
  nonNegativeSchema,
  nonNegativeSchema,
  nonNegativeSchema,
  nonNegativeSchema,
  nonNegativeSchema,
  nonNegativeSchema,
]);

/** Work that an entry host has placed, or that has ended there. */
export const placementNoticeSchema = z.object({
  from: z.string(),
  work: z.string(),
  /** Whether the receiver tells the hosts of its failure domain. */
  relay: z.boolean(),
  placed: z.array(placedWorkSchema),
  /** Backend servers on which the work has ended. */
  ended: z.array(z.string()).default([]),
});
