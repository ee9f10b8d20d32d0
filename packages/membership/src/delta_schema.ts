import {announcementSchema} from '@vanillamux/protocol';
import {z} from 'zod';

const MAX_DELTA_ENTRIES = 4_096;
const numberSchema = z.number();

/**
 * A load report in short form: id, incarnation, sequence, age in milliseconds,
 * queued prefill tokens, running streams, free tokens.
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
 * What the sender has in flight on a backend server: id, requests, held
 * tokens, then pairs of engine priority and outstanding prefill tokens.
 */
const inFlightTupleSchema = z
  .tuple([z.string(), numberSchema, numberSchema])
  .rest(numberSchema);

/** A batch of changes that entry hosts send to each other. */
export const deltaSchema = z.object({
  from: z.string(),
  /** Hybrid logical time of the sender. */
  at: z.string(),
  /** Whole announcements, for backend servers new to the receiver. */
  announcements: z
    .array(z.object({announcement: announcementSchema, ageMs: z.number()}))
    .max(MAX_DELTA_ENTRIES),
  loads: z.array(loadTupleSchema).max(MAX_DELTA_ENTRIES),
  /** Only what changed since the last batch, unless `isWhole`. */
  inFlight: z.array(inFlightTupleSchema).max(MAX_DELTA_ENTRIES),
  isWhole: z.boolean(),
  /** Set when the sender is shutting down. */
  leaving: z.boolean(),
});
