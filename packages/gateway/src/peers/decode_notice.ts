import {getLogger} from '@vanillamux/shared';
import {isPlacementOnly} from './is_placement_only.js';
import type {PlacementNotice} from './placement_notice.js';
import {placementNoticeSchema} from './placement_notice_schema.js';

const log = getLogger('peers');

/** Decodes a datagram; returns nothing if it is no valid notice. */
export function decodeNotice(bytes: Buffer): PlacementNotice | undefined {
  try {
    const value: unknown = JSON.parse(bytes.toString());
    // Each host receives the placements of all others: the schema would cost it
    // more than the rest of the work for a notice.
    if (isPlacementOnly(value)) return value;
    const parsed = placementNoticeSchema.safeParse(value);
    if (parsed.success) return parsed.data;
    log.warn('Ignored a notice with invalid content.', {
      reason: parsed.error.message,
    });
  } catch (error) {
    log.warn('Ignored a notice that is not valid JSON.', {
      reason: (error as Error).message,
    });
  }
  return undefined;
}
