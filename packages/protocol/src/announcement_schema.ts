import {addressSchema} from '@vanillamux/shared';
import {z} from 'zod';
import {BackendKind} from './backend_kind.js';
import {BackendState} from './backend_state.js';

const nonNegativeNumber = z.number().min(0);
const MAX_CACHE_EVENTS = 4_096;
const MAX_LEASE_MS = 60_000;

/** The load that a backend server reports; it lags behind the truth. */
const loadReportSchema = z.object({
  queuedPrefillTokens: nonNegativeNumber,
  runningStreams: nonNegativeNumber,
  freeTokens: nonNegativeNumber,
});

/** A change to the prefix cache of an engine; may come late or not at all. */
const cacheEventsSchema = z.object({
  stored: z.array(z.string()).max(MAX_CACHE_EVENTS).default([]),
  evicted: z.array(z.string()).max(MAX_CACHE_EVENTS).default([]),
});

/** What a backend server says of itself, on a lease. */
export const announcementSchema = z.object({
  id: z.string().min(1),
  /** Distinguishes a restarted backend server; later ones are larger. */
  incarnation: z.number().int().min(0),
  /** Orders the announcements of one incarnation. */
  sequence: z.number().int().min(0),
  kind: z.nativeEnum(BackendKind),
  /** Name of the plain service, for `BackendKind.Service`. */
  service: z.string().optional(),
  address: addressSchema,
  failureDomain: z.string().min(1),
  models: z.array(z.string()).default([]),
  memoryTokens: nonNegativeNumber.default(0),
  prefillTokensPerSecond: nonNegativeNumber.default(0),
  decodeStepMs: nonNegativeNumber.default(0),
  /** Most prompt tokens that one engine step processes. */
  chunkTokens: nonNegativeNumber.default(2_048),
  state: z.nativeEnum(BackendState),
  leaseMs: z.number().int().positive().max(MAX_LEASE_MS),
  load: loadReportSchema,
  cache: cacheEventsSchema.default({}),
});
