import {addressSchema, LogFormat, LogLevel} from '@vanillamux/shared';
import {z} from 'zod';
import {AdmissionPolicyName} from '../admission/admission_policy_name.js';
import {PlacementPolicyName} from '../placement/placement_policy_name.js';

const DEFAULT_RETRY_RATIO = 0.1;
const DEFAULT_RETRY_WINDOW_S = 10;
const DEFAULT_RETRY_ALLOWANCE = 20;
const DEFAULT_DRAIN_NOTICE_MS = 2_500;
const DEFAULT_GRACE_S = 8;

const retrySchema = z
  .object({
    /** Retries allowed per request of a service. */
    ratio: z.number().min(0).default(DEFAULT_RETRY_RATIO),
    /** Length of the sliding window, in seconds. */
    windowS: z.number().positive().default(DEFAULT_RETRY_WINDOW_S),
    /** Retries beyond the ratio, shared by all entry hosts. */
    allowance: z.number().min(0).default(DEFAULT_RETRY_ALLOWANCE),
  })
  .strict();

const coldBackendsSchema = z
  .object({
    /** Factor on the cold rate of a service, for any second. */
    overshoot: z.number().min(0).nullish(),
    /** Requests of any second beyond it. */
    allowance: z.number().min(0).nullish(),
  })
  .strict();

/** Settings of a gateway. */
export const gatewaySettingsSchema = z
  .object({
    id: z.string().min(1),
    failureDomain: z.string().min(1),
    /** Region of each failure domain of the deployment. */
    regionByFailureDomain: z
      .record(z.string())
      .nullish()
      .transform(regions => regions ?? {}),
    /** Address for clients. */
    listen: addressSchema,
    /** Address of the readiness probe of the load balancer. */
    readiness: addressSchema,
    /** Additional address for metrics, besides the readiness address. */
    metrics: addressSchema.optional(),
    /**
     * Address to which the other entry hosts send their notices (UDP) and the
     * requests that they relay (TCP).
     */
    peers: addressSchema,
    /** Some of the control hosts; their ports are ignored. */
    seeds: z.array(addressSchema).min(1),
    /** RPC port of the control hosts, the same on all of them. */
    peerPort: z.number().int().positive(),
    placement: z
      .nativeEnum(PlacementPolicyName)
      .default(PlacementPolicyName.EngineTime),
    /** By default the configuration decides for each service. */
    admission: z.nativeEnum(AdmissionPolicyName).optional(),
    /**
     * Whether hosts tell each other which backend servers fail requests, as
     * where servers are uneven and one host sees little of each.
     */
    sharesFailures: z.boolean().default(false),
    /**
     * Whether requests wait, after a restart of every host, until most backend
     * servers are known: many hosts would overload the few that report first.
     */
    waitsAfterRestart: z.boolean().default(false),
    /** Bounds on the requests of cold backend servers. */
    coldBackends: coldBackendsSchema.default({}),
    retries: retrySchema.default({}),
    /** Time within which the load balancer notices that the host drains. */
    drainNoticeMs: z.number().min(0).default(DEFAULT_DRAIN_NOTICE_MS),
    /** Seconds from the stop signal until the process is killed. */
    graceS: z.number().positive().default(DEFAULT_GRACE_S),
    logLevel: z.nativeEnum(LogLevel).default(LogLevel.Info),
    logFormat: z.nativeEnum(LogFormat).default(LogFormat.Text),
  })
  .strict();
