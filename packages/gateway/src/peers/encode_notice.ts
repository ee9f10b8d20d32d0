import type {PlacementNotice} from './placement_notice.js';

/** Encodes a notice for receivers that relay it, or for those that don't. */
export function encodeNotice(notice: PlacementNotice, relay: boolean): Buffer {
  return Buffer.from(JSON.stringify({...notice, relay}));
}
