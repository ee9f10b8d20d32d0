import type {z} from 'zod';
import type {announcementSchema} from './announcement_schema.js';

/** What a backend server says of itself, on a lease. */
export type Announcement = z.infer<typeof announcementSchema>;

/** The load that a backend server reports. */
export type LoadReport = Announcement['load'];
