import {destinationSchema} from '@vanillamux/shared';
import {z} from 'zod';
import {PresenceState} from './presence_state.js';

/** Far above what a backend server runs at a time. */
const MAX_CAPACITY = 1_000_000;
const MAX_NAME_LENGTH = 256;
/** Far above the time for which a backend server is cold. */
const MAX_COLD_MS = 3_600_000;

const nameSchema = z.string().max(MAX_NAME_LENGTH);
/** Larger numbers lose digits, and JSON has no infinite ones. */
const countSchema = z.number().int().min(0).safe();

/** A report of the state of a backend server. */
export const presenceSchema = z.object({
  id: nameSchema.min(1),
  /** Start of the process in Unix milliseconds; orders its incarnations. */
  incarnation: countSchema,
  /** Orders the reports of one incarnation. */
  sequence: countSchema,
  state: z.nativeEnum(PresenceState),
  /**
   * Whether a `Gone` report is a fact about the incarnation: it has said that
   * it leaves, or a later one has its address. Control hosts of earlier
   * versions leave it out, and also send `Gone` for what they don't hear.
   */
  isConfirmed: z.boolean().optional(),
  service: nameSchema.min(1),
  address: destinationSchema,
  failureDomain: nameSchema,
  /** Maximum number of concurrent requests. */
  capacity: z.number().int().min(0).max(MAX_CAPACITY),
  /**
   * Time for which it stays cold from when the report is received; left out by
   * one that is not cold.
   */
  coldForMs: z.number().min(0).max(MAX_COLD_MS).optional(),
});
