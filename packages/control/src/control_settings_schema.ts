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

/** How a host finds its group when `group` does not list the members. */
const discoverySchema = z
  .object({
    /** Addresses of some control hosts; `peerPort` replaces their ports. */
    seeds: z.array(addressSchema).min(1),
    /** Port for calls between control hosts, the same on all of them. */
    peerPort: z.number().int().positive(),
    /** Whether this is the first start of the whole system, on empty disks. */
    bootstrap: z.boolean(),
  })
  .strict();

/** Settings of `vmux-control`. */
export const controlSettingsSchema = z
  .object({
    id: z.string().min(1),
    failureDomain: z.string().min(1),
    listen: addressSchema,
    /** Address that others connect to, if it differs from `listen`. */
    advertise: addressSchema.optional(),
    /** Address that operators and backend servers call, in their protocol. */
    api: addressSchema.optional(),
    /** Address that serves metrics in addition to `listen`. */
    metrics: addressSchema.optional(),
    dataFolder: z.string().min(1),
    /** Control hosts that form the group when all their disks are empty. */
    group: z.array(hostSchema).default([]),
    /** Replaces `group` if only some of the control hosts are known. */
    discovery: discoverySchema.optional(),
    /** Control hosts that may replace a lost member. */
    standbys: z.array(hostSchema).default([]),
    /** Silence after which a standby replaces a voter. */
    replaceAfterMs: z
      .number()
      .int()
      .positive()
      .default(DEFAULT_REPLACE_AFTER_MS),
    /** Interval of the heartbeats that backend servers send. */
    heartbeatMs: z.number().int().positive().default(DEFAULT_HEARTBEAT_MS),
    logLevel: z.nativeEnum(LogLevel).default(LogLevel.Info),
    logFormat: z.nativeEnum(LogFormat).default(LogFormat.Text),
    /** Delay added to each sync, to simulate a slower disk in measurements. */
    syncDelayMs: z.number().min(0).default(0),
    /** Number of log entries after which a snapshot is taken. */
    snapshotEntries: z.number().int().positive().optional(),
  })
  .strict()
  .refine(({group, discovery}) => group.length > 0 || discovery, {
    path: ['group'],
    message: 'name the hosts of the group, or set discovery',
  });
