import {destinationSchema} from '@vanillamux/shared';
import {z} from 'zod';
import {BackendKind} from './backend_kind.js';
import {BackendState} from './backend_state.js';

const nonNegativeNumber = z.number().min(0).finite();
const MAX_CACHE_EVENTS = 4_096;
const MAX_LEASE_MS = 60_000;

/** The load that a backend server reports; lags behind its actual load. */
const loadReportSchema = z.object({
  queuedPrefillTokens: nonNegativeNumber,
  runningStreams: nonNegativeNumber,
  freeTokens: nonNegativeNumber,
});

/** Changes to the prefix cache of an engine; may arrive late or be lost. */
const cacheEventsSchema = z.object({
  stored: z.array(z.string()).max(MAX_CACHE_EVENTS).default([]),
  evicted: z.array(z.string()).max(MAX_CACHE_EVENTS).default([]),
});

/** State that a backend server announces, valid for the time of its lease. */
export const announcementSchema = z.object({
  id: z.string().min(1),
  /** Identifies one start of the process; larger after each restart. */
  incarnation: z.number().int().min(0).safe(),
  /** Orders the announcements of one incarnation. */
  sequence: z.number().int().min(0).safe(),
  kind: z.nativeEnum(BackendKind),
  /** Name of the service, for `BackendKind.Service`. */
  service: z.string().optional(),
  address: destinationSchema,
  failureDomain: z.string().min(1),
  models: z.array(z.string()).default([]),
  memoryTokens: nonNegativeNumber.default(0),
  prefillTokensPerSecond: nonNegativeNumber.default(0),
  decodeStepMs: nonNegativeNumber.default(0),
  /** Maximum number of prompt tokens per engine step. */
  chunkTokens: nonNegativeNumber.default(2_048),
  state: z.nativeEnum(BackendState),
  leaseMs: z.number().int().positive().max(MAX_LEASE_MS),
  load: loadReportSchema,
  cache: cacheEventsSchema.default({}),
});
