import type {z} from 'zod';
import type {gatewaySettingsSchema} from './gateway_settings_schema.js';

/** Settings of a gateway. */
export type GatewaySettings = z.infer<typeof gatewaySettingsSchema>;
