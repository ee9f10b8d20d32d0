import type {z} from 'zod';
import type {controlSettingsSchema} from './control_settings_schema.js';

/** Settings of `vmux-control`. */
export type ControlSettings = z.infer<typeof controlSettingsSchema>;
