import {BackendKind} from '@vanillamux/protocol';
import {addressSchema, LogFormat, LogLevel} from '@vanillamux/shared';
import {z} from 'zod';

const positiveSchema = z.number().positive();

/** Cost model of a stand-in engine. */
const costSchema = z
  .object({
    memoryTokens: positiveSchema.default(450_000),
    prefillTokensPerSecond: positiveSchema.default(200_000),
    /** Most prompt tokens that one step processes. */
    chunkTokens: positiveSchema.default(4_096),
    decodeStepMs: positiveSchema.default(8),
    /** Added to a decode step for each running stream. */
    decodeStepPerStreamMs: z.number().min(0).default(0.1),
    kvTransferTokensPerSecond: positiveSchema.default(2_000_000),
    maxWaiting: positiveSchema.default(512),
  })
  .strict();

/** How late and incomplete the reports of a stand-in engine are. */
const reportSchema = z
  .object({
    announceIntervalMs: positiveSchema.default(500),
    leaseMs: positiveSchema.default(2_000),
    loadLagMs: z.number().min(0).default(200),
    cacheLagMs: z.number().min(0).default(500),
    /** Share of cache events that are lost. */
    cacheLoss: z.number().min(0).max(1).default(0.05),
  })
  .strict();

/** Settings of `vmux-engine`. */
export const engineSettingsSchema = z
  .object({
    id: z.string().min(1),
    kind: z.nativeEnum(BackendKind).default(BackendKind.Model),
    service: z.string().optional(),
    failureDomain: z.string().min(1),
    listen: addressSchema,
    /** Internal addresses of entry hosts, the nearest first. */
    entries: z.array(addressSchema).min(1),
    models: z.array(z.string()).default([]),
    checksFencing: z.boolean().default(true),
    cost: costSchema.default({}),
    report: reportSchema.default({}),
    seed: z.number().int().default(1),
    logLevel: z.nativeEnum(LogLevel).default(LogLevel.Info),
    logFormat: z.nativeEnum(LogFormat).default(LogFormat.Text),
  })
  .strict();
