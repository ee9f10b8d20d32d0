import type {z} from 'zod';
import type {revisedOrderSchema} from './revised_order_schema.js';

/** An order with the revision of the view that it is based on. */
export type RevisedOrder = z.infer<typeof revisedOrderSchema>;
