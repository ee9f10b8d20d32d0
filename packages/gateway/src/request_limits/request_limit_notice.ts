import type {z} from 'zod';
import type {requestLimitNoticeSchema} from './request_limit_notice_schema.js';

/** Request limits, and permits to send to limited backend servers. */
export type RequestLimitNotice = z.input<typeof requestLimitNoticeSchema>;
