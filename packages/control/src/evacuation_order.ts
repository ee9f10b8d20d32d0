import type {z} from 'zod';
import type {evacuationOrderSchema} from './evacuation_order_schema.js';

/** An operator's order to empty a failure domain or to take it back. */
export type EvacuationOrder = z.infer<typeof evacuationOrderSchema>;
