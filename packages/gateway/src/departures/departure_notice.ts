import type {z} from 'zod';
import type {departureNoticeSchema} from './departure_notice_schema.js';

/** Backend servers that leave. */
export type DepartureNotice = z.input<typeof departureNoticeSchema>;
