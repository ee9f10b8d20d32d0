import type {z} from 'zod';
import type {quarantineNoticeSchema} from './quarantine_notice_schema.js';

/** Ends of backend servers, and what follows for suspects. */
export type QuarantineNotice = z.input<typeof quarantineNoticeSchema>;
