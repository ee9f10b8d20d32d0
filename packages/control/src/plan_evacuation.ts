import {MAX_EMPTIED_DOMAINS, type EvacuationView} from '@vanillamux/protocol';
import {EvacuationAction} from './evacuation_action.js';
import type {EvacuationOrder} from './evacuation_order.js';

/**
 * Returns the view after an order: the same one if nothing is to change, and
 * `undefined` if no further failure domain can be emptied.
 */
export function planEvacuation(
  view: EvacuationView,
  {failureDomain, action}: EvacuationOrder,
): EvacuationView | undefined {
  const {revision, failureDomains} = view;
  const isBegin = action === EvacuationAction.Begin;
  if (failureDomains.includes(failureDomain) === isBegin) return view;
  if (isBegin && failureDomains.length >= MAX_EMPTIED_DOMAINS) return undefined;
  const others = failureDomains.filter(name => name !== failureDomain);
  return {
    revision: revision + 1,
    failureDomains: isBegin ? [...others, failureDomain].sort() : others,
  };
}
