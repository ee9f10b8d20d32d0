import {addressSchema, LogFormat, LogLevel} from '@vanillamux/shared';
import {z} from 'zod';

const DEFAULT_REPLACE_AFTER_MS = 30_000;
const DEFAULT_HEARTBEAT_MS = 1_000;

const hostSchema = z
  .object({
    id: z.string().min(1),
    failureDomain: z.string().min(1),
    address: addressSchema,
  })
  .strict();

/** How a host finds its group when the members are not declared. */
const discoverySchema = z
  .object({
    /** Some control hosts; their port is not used. */
    seeds: z.array(addressSchema).min(1),
    /** Port of the calls between control hosts, equal on all of them. */
    peerPort: z.number().int().positive(),
    /** Whether the whole system starts for the first time, on empty disks. */
    bootstrap: z.boolean(),
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
    /** Where operators and backend servers call, in a deployment's protocol. */
    api: addressSchema.optional(),
    /** Where metrics are served besides `listen`. */
    metrics: addressSchema.optional(),
    dataFolder: z.string().min(1),
    /** Control hosts that form the group when all their disks are empty. */
    group: z.array(hostSchema).default([]),
    /** Replaces `group` where only some hosts are known. */
    discovery: discoverySchema.optional(),
    /** Hosts that may replace a lost one. */
    standbys: z.array(hostSchema).default([]),
    /** A voter silent for so long is replaced by a standby. */
    replaceAfterMs: z
      .number()
      .int()
      .positive()
      .default(DEFAULT_REPLACE_AFTER_MS),
    /** Interval at which backend servers report to control hosts. */
    heartbeatMs: z.number().int().positive().default(DEFAULT_HEARTBEAT_MS),
    logLevel: z.nativeEnum(LogLevel).default(LogLevel.Info),
    logFormat: z.nativeEnum(LogFormat).default(LogFormat.Text),
    /** Added to each sync, to model a slower disk in measurements. */
    syncDelayMs: z.number().min(0).default(0),
    /** Log entries after which a snapshot is taken. */
    snapshotEntries: z.number().int().positive().optional(),
  })
  .strict()
  .refine(({group, discovery}) => group.length > 0 || discovery, {
    path: ['group'],
    message: 'name the hosts of the group, or set discovery',
  });
