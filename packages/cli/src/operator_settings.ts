import type {z} from 'zod';
import type {operatorSettingsSchema} from './operator_settings_schema.js';

export type OperatorSettings = z.infer<typeof operatorSettingsSchema>;
