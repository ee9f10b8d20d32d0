import type {z} from 'zod';
import type {reachNoticeSchema} from './reach_notice_schema.js';

/** Services that the sender of a notice does not reach. */
export type ReachNotice = z.infer<typeof reachNoticeSchema>;
