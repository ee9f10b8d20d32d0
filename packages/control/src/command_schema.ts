import {declarationsSchema, evacuationViewSchema} from '@vanillamux/protocol';
import {z} from 'zod';
import {CommandKind} from './command_kind.js';
import {SettleOutcome} from './settle_outcome.js';
import {storedResponseSchema} from './stored_response_schema.js';

const reservationKeySchemas = {
  workspace: z.string(),
  service: z.string(),
  key: z.string(),
};
/** Wall-clock time of the leader when it proposed the command. */
const atMs = z.number();

const declareSchema = z.object({
  kind: z.literal(CommandKind.Declare),
  commandId: z.string().min(1),
  expectedVersion: z.number().int().min(0),
  document: declarationsSchema,
  operator: z.string(),
  atMs,
});

const reserveSchema = z.object({
  kind: z.literal(CommandKind.Reserve),
  ...reservationKeySchemas,
  digest: z.string(),
  requestId: z.string(),
  entry: z.string(),
  /** Time after which a reservation that is not settled becomes `unknown`. */
  leaseMs: z.number().int().positive(),
  /** Time for which the response of a completed request is stored. */
  retentionMs: z.number().int().positive(),
  atMs,
});

const settleSchema = z.object({
  kind: z.literal(CommandKind.Settle),
  ...reservationKeySchemas,
  requestId: z.string(),
  outcome: z.nativeEnum(SettleOutcome),
  answer: storedResponseSchema.optional(),
  /** Operator who settles an unknown outcome; empty for an entry host. */
  operator: z.string().default(''),
  atMs,
});

const expireSchema = z.object({kind: z.literal(CommandKind.Expire), atMs});

const fenceSchema = z.object({
  kind: z.literal(CommandKind.Fence),
  commandId: z.string(),
  backend: z.string(),
  holder: z.string(),
  leaseMs: z.number().int().positive(),
  atMs,
});

const publishSchema = z.object({
  kind: z.literal(CommandKind.Publish),
  version: z.number().int().min(0),
  digest: z.string(),
  text: z.string(),
  atMs,
});

const evacuateSchema = z.object({
  kind: z.literal(CommandKind.Evacuate),
  view: evacuationViewSchema,
  atMs,
});

/** Schemas of the commands in the replicated log. */
export const commandSchemas = {
  declare: declareSchema,
  reserve: reserveSchema,
  settle: settleSchema,
  expire: expireSchema,
  fence: fenceSchema,
  publish: publishSchema,
  evacuate: evacuateSchema,
};
