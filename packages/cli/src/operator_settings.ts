import type {z} from 'zod';
import type {operatorSettingsSchema} from './operator_settings_schema.js';

/** Settings of `vmux`. */
export type OperatorSettings = z.infer<typeof operatorSettingsSchema>;
