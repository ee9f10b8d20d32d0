import {addressSchema, LogFormat, LogLevel} from '@vanillamux/shared';
import {z} from 'zod';
import {PlacementPolicyName} from '../placement/placement_policy_name.js';

const DEFAULT_RETRY_RATIO = 0.1;
const DEFAULT_RETRY_WINDOW_S = 10;
const DEFAULT_RETRY_ALLOWANCE = 20;
const DEFAULT_DRAIN_NOTICE_MS = 2_500;
const DEFAULT_GRACE_S = 8;

const retrySchema = z
  .object({
    /** Repeats for each request of a service. */
    ratio: z.number().min(0).default(DEFAULT_RETRY_RATIO),
    /** Length of the sliding window, in seconds. */
    windowS: z.number().positive().default(DEFAULT_RETRY_WINDOW_S),
    /** Repeats of all entry hosts together beyond the ratio. */
    allowance: z.number().min(0).default(DEFAULT_RETRY_ALLOWANCE),
  })
  .strict();

/** Settings of a gateway. */
export const gatewaySettingsSchema = z
  .object({
    id: z.string().min(1),
    failureDomain: z.string().min(1),
    /** Where clients connect. */
    listen: addressSchema,
    /** Where the load balancer asks whether this host takes connections. */
    readiness: addressSchema,
    /** Where metrics are served besides the readiness address. */
    metrics: addressSchema.optional(),
    /** Where other entry hosts send their notices, as datagrams. */
    peers: addressSchema,
    /** Some control hosts; their port is not used. */
    seeds: z.array(addressSchema).min(1),
    /** Port of the calls to control hosts, equal on all of them. */
    peerPort: z.number().int().positive(),
    placement: z
      .nativeEnum(PlacementPolicyName)
      .default(PlacementPolicyName.EngineTime),
    retries: retrySchema.default({}),
    /** Time after which the load balancer has noticed that the host drains. */
    drainNoticeMs: z.number().min(0).default(DEFAULT_DRAIN_NOTICE_MS),
    /** Seconds after the stop signal at which the process is killed. */
    graceS: z.number().positive().default(DEFAULT_GRACE_S),
    logLevel: z.nativeEnum(LogLevel).default(LogLevel.Info),
    logFormat: z.nativeEnum(LogFormat).default(LogFormat.Text),
  })
  .strict();
