import {evacuationViewSchema} from '@vanillamux/protocol';
import {z} from 'zod';
import {coldNoticeSchema} from '../cold_backends/cold_notice_schema.js';
import {departureNoticeSchema} from '../departures/departure_notice_schema.js';
import {failureNoticeSchema} from '../failing_backends/failure_notice_schema.js';
import {requestLimitNoticeSchema} from '../request_limits/request_limit_notice_schema.js';
import {reachNoticeSchema} from '../reach/reach_notice_schema.js';
import {quarantineNoticeSchema} from '../quarantine/quarantine_notice_schema.js';
import {SyncKind} from './sync_kind.js';

const nonNegativeSchema = z.number().min(0);

/** Backend server, incarnation, and the fields of `WorkItem` in order. */
const placedWorkSchema = z.tuple([
  z.string(),
  nonNegativeSchema,
  nonNegativeSchema,
  nonNegativeSchema,
  nonNegativeSchema,
  nonNegativeSchema,
  nonNegativeSchema,
  nonNegativeSchema,
]);

/** Work that an entry host has placed, or that has ended. */
export const placementNoticeSchema = z.object({
  from: z.string(),
  work: z.string(),
  /** Whether the receiver relays the notice within its failure domain. */
  relay: z.boolean(),
  placed: z.array(placedWorkSchema),
  /** Backend servers on which the work has ended. */
  ended: z.array(z.string()).default([]),
  /** Ends of backend servers, and suspects that explain them. */
  quarantine: quarantineNoticeSchema.optional(),
  /** Request limits of backend servers, and permits for them. */
  limits: requestLimitNoticeSchema.optional(),
  /** Backend servers that leave. */
  departures: departureNoticeSchema.optional(),
  /** Backend servers that are cold. */
  cold: coldNoticeSchema.optional(),
  /** Backend servers that fail requests. */
  failures: failureNoticeSchema.optional(),
  /** Services that the sender does not reach. */
  reach: reachNoticeSchema.optional(),
  /** Failure domains that an operator has emptied. */
  evacuation: evacuationViewSchema.optional(),
  /** A request for what the receiver knows, or a reply to one. */
  sync: z.nativeEnum(SyncKind).optional(),
});
