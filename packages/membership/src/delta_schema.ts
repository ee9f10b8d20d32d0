import {announcementSchema} from '@vanillamux/protocol';
import {z} from 'zod';

const MAX_DELTA_ENTRIES = 4_096;
const numberSchema = z.number();

/**
 * Compact load report: id, incarnation, sequence, age in milliseconds, queued
 * prefill tokens, running streams, free tokens.
 */
const loadTupleSchema = z.tuple([
  z.string(),
  numberSchema,
  numberSchema,
  numberSchema,
  numberSchema,
  numberSchema,
  numberSchema,
]);

/**
 * Requests that the sender has in flight on a backend server: id, number of
 * requests, tokens of KV memory that they need, then pairs of engine priority
 * and outstanding prefill tokens.
 */
const inFlightTupleSchema = z
  .tuple([z.string(), numberSchema, numberSchema])
  .rest(numberSchema);

/** Batch of changes that an entry host sends to a peer. */
export const deltaSchema = z.object({
  from: z.string(),
  /** Hybrid logical time of the sender. */
  at: z.string(),
  /**
   * Full announcements, for backend servers that are new to the receiver or of
   * which more than the load changed.
   */
  announcements: z
    .array(z.object({announcement: announcementSchema, ageMs: z.number()}))
    .max(MAX_DELTA_ENTRIES),
  loads: z.array(loadTupleSchema).max(MAX_DELTA_ENTRIES),
  /** Entries that changed since the last batch, or all of them if `isWhole`. */
  inFlight: z.array(inFlightTupleSchema).max(MAX_DELTA_ENTRIES),
  isWhole: z.boolean(),
  /** Whether the sender is shutting down. */
  leaving: z.boolean(),
});
