import {z} from 'zod';
import {evacuationOrderSchema} from './evacuation_order_schema.js';

/** Schema of a `RevisedOrder`. */
export const revisedOrderSchema = evacuationOrderSchema.extend({
  /** The order is void after any later change: it may have been delayed. */
  expectedRevision: z.number().int().min(0),
});
