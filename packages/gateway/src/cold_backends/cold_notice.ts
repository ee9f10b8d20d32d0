import type {z} from 'zod';
import type {coldNoticeSchema} from './cold_notice_schema.js';

/** Backend servers that are cold. */
export type ColdNotice = z.input<typeof coldNoticeSchema>;
