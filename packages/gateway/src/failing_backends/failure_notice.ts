import type {z} from 'zod';
import type {failureNoticeSchema} from './failure_notice_schema.js';

/** Backend servers that fail requests. */
export type FailureNotice = z.input<typeof failureNoticeSchema>;
