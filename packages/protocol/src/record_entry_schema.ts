import {RunState} from '@vanillamux/shared';
import {z} from 'zod';
import {RecordKind} from './record_kind.js';

/** Figures of one candidate that a routing decision is based on. */
const candidateSchema = z.object({
  backend: z.string(),
  /** Estimated time to first token in milliseconds. */
  estimateMs: z.number(),
  queuedTokens: z.number(),
  cachedTokens: z.number(),
});

/** An entry of the record, chained by hash to the previous entry. */
export const recordEntrySchema = z.object({
  /** Entry host and incarnation that wrote the chain. */
  chain: z.string(),
  /** Position in the chain, from 0 without gaps. */
  sequence: z.number().int().min(0),
  at: z.string(),
  previousHash: z.string(),
  hash: z.string(),
  kind: z.nativeEnum(RecordKind),
  failureDomain: z.string(),
  requestId: z.string().optional(),
  workspace: z.string().optional(),
  class: z.string().optional(),
  target: z.string().optional(),
  promptTokens: z.number().optional(),
  /** Version of the declarations that the decision used. */
  version: z.number().optional(),
  rule: z.string().optional(),
  code: z.string().optional(),
  ran: z.nativeEnum(RunState).optional(),
  backend: z.string().optional(),
  /** Entry host that relayed the request to the one that wrote the entry. */
  relayedFrom: z.string().optional(),
  attempts: z.number().optional(),
  candidates: z.array(candidateSchema).optional(),
  firstTokenMs: z.number().optional(),
  durationMs: z.number().optional(),
  answerTokens: z.number().optional(),
  idempotencyKey: z.string().optional(),
});
