import type {z} from 'zod';
import type {engineSettingsSchema} from './engine_settings_schema.js';

/** Settings of `vmux-engine`. */
export type EngineSettings = z.infer<typeof engineSettingsSchema>;

/** Cost model of a mock engine. */
export type EngineCost = EngineSettings['cost'];
