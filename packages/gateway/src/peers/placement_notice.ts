import type {z} from 'zod';
import type {placementNoticeSchema} from './placement_notice_schema.js';

/** Work that an entry host has placed, or that has ended. */
export type PlacementNotice = z.infer<typeof placementNoticeSchema>;
