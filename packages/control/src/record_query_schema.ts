import {RecordKind} from '@vanillamux/protocol';
import {z} from 'zod';

const DEFAULT_LIMIT = 100;
const MAX_LIMIT = 10_000;

/** Query for entries of the record; every given field must match. */
export const recordQuerySchema = z.object({
  requestId: z.string().optional(),
  workspace: z.string().optional(),
  kind: z.nativeEnum(RecordKind).optional(),
  chain: z.string().optional(),
  idempotencyKey: z.string().optional(),
  limit: z.number().int().positive().max(MAX_LIMIT).default(DEFAULT_LIMIT),
});
