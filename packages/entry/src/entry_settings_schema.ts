import {PolicyName} from '@vanillamux/routing';
import {addressSchema, LogFormat, LogLevel} from '@vanillamux/shared';
import {z} from 'zod';

const DEFAULT_MAX_BODY_BYTES = 16 * 1_024 * 1_024;
const DEFAULT_DRAIN_NOTICE_MS = 1_000;
const positiveInteger = z.number().int().positive();

/** Settings of `vmux-entry`. */
export const entrySettingsSchema = z
  .object({
    id: z.string().min(1),
    failureDomain: z.string().min(1),
    /** Address for callers. */
    listen: addressSchema,
    /** Address for backend servers, peers and operators. */
    internal: addressSchema,
    /** Control hosts; the one in this failure domain first. */
    control: z.array(addressSchema).min(1),
    /** Internal addresses of the other entry hosts. */
    peers: z.array(addressSchema).default([]),
    policy: z.nativeEnum(PolicyName).default(PolicyName.EstimatedFirstToken),
    maxBodyBytes: positiveInteger.default(DEFAULT_MAX_BODY_BYTES),
    /** Time between not ready and the end of new connections. */
    drainNoticeMs: z.number().int().min(0).default(DEFAULT_DRAIN_NOTICE_MS),
    logLevel: z.nativeEnum(LogLevel).default(LogLevel.Info),
    logFormat: z.nativeEnum(LogFormat).default(LogFormat.Text),
  })
  .strict();
