import type {RevisedOrder} from './revised_order.js';

/** An operator's order to empty a failure domain or to take it back. */
export type EvacuationOrder = Omit<RevisedOrder, 'expectedRevision'>;
