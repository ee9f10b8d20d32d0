import type {z} from 'zod';
import type {entrySettingsSchema} from './entry_settings_schema.js';

/** Settings of `vmux-entry`. */
export type EntrySettings = z.infer<typeof entrySettingsSchema>;
