import type {z} from 'zod';
import type {generateRequestSchema} from './generate_request_schema.js';

/** Body of `POST /v1/generate`, from an entry host to an engine. */
export type GenerateRequest = z.infer<typeof generateRequestSchema>;
