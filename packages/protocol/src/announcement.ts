import type {z} from 'zod';
import type {announcementSchema} from './announcement_schema.js';

/** State that a backend server announces, valid for the time of its lease. */
export type Announcement = z.infer<typeof announcementSchema>;

/** The load that a backend server reports. */
export type LoadReport = Announcement['load'];
