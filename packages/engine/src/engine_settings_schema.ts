import {BackendKind} from '@vanillamux/protocol';
import {addressSchema, LogFormat, LogLevel} from '@vanillamux/shared';
import {z} from 'zod';

const positive = z.number().positive();

/** Cost model of a stand-in engine. */
const costSchema = z
  .object({
    memoryTokens: positive.default(450_000),
    prefillTokensPerSecond: positive.default(200_000),
    /** Most prompt tokens that one step processes. */
    chunkTokens: positive.default(4_096),
    decodeStepMs: positive.default(8),
    /** Added to a decode step for each running stream. */
    decodeStepPerStreamMs: z.number().min(0).default(0.1),
    kvTransferTokensPerSecond: positive.default(2_000_000),
    maxWaiting: positive.default(512),
  })
  .strict();

/** How late and incomplete the reports of a stand-in engine are. */
const reportSchema = z
  .object({
    announceIntervalMs: positive.default(500),
    leaseMs: positive.default(2_000),
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
