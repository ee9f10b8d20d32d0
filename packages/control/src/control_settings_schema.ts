import {addressSchema, LogFormat, LogLevel} from '@vanillamux/shared';
import {z} from 'zod';

const DEFAULT_REPLACE_AFTER_MS = 30_000;

const hostSchema = z
  .object({
    id: z.string().min(1),
    failureDomain: z.string().min(1),
    address: addressSchema,
  })
  .strict();

/** Settings of `vmux-control`. */
export const controlSettingsSchema = z
  .object({
    id: z.string().min(1),
    failureDomain: z.string().min(1),
    listen: addressSchema,
    /** Address that others reach this host by, when it is not `listen`. */
    advertise: addressSchema.optional(),
    dataFolder: z.string().min(1),
    /** Control hosts that form the group when all their disks are empty. */
    group: z.array(hostSchema).min(1),
    /** Hosts that may replace a lost one. */
    standbys: z.array(hostSchema).default([]),
    /** A voter silent for so long is replaced by a standby. */
    replaceAfterMs: z
      .number()
      .int()
      .positive()
      .default(DEFAULT_REPLACE_AFTER_MS),
    logLevel: z.nativeEnum(LogLevel).default(LogLevel.Info),
    logFormat: z.nativeEnum(LogFormat).default(LogFormat.Text),
    /** Added to each sync, to model a slower disk in measurements. */
    syncDelayMs: z.number().min(0).default(0),
    /** Log entries after which a snapshot is taken. */
    snapshotEntries: z.number().int().positive().optional(),
  })
  .strict();
