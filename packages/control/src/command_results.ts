import type {z} from 'zod';
import type {ReservationState} from './reservation_state.js';
import type {storedResponseSchema} from './stored_response_schema.js';

/** The answer of a service, kept to be replayed. */
export type StoredResponse = z.infer<typeof storedResponseSchema>;

/** Answer to a declare command. */
export interface DeclareResult {
  readonly accepted: boolean;
  /** The accepted version, or the one in force after a conflict. */
  readonly version: number;
}

/** What happened to a reserve command. */
export enum ReserveVerdict {
  /** The key is reserved for this request. */
  Granted = 'granted',
  /** Another request holds the key; its state says more. */
  Held = 'held',
  /** The key was used with another body. */
  BodyMismatch = 'other_body',
  /** The workspace has too many keys in the register. */
  KeyLimitReached = 'full',
}

/** Answer to a reserve command. */
export interface ReserveResult {
  readonly verdict: ReserveVerdict;
  /** State of the request that holds the key. */
  readonly state?: ReservationState;
  readonly requestId?: string;
  readonly answer?: StoredResponse;
}

/** Answer to a settle command. */
export interface SettleResult {
  /** False when there was nothing to settle under this request id. */
  readonly settled: boolean;
  readonly state?: ReservationState;
}

/** Answer to a fence command. */
export interface FenceResult {
  readonly granted: boolean;
  /** The fencing number, or the one of the present holder. */
  readonly number: number;
  /** Milliseconds until the present holder's lease ends. */
  readonly waitMs: number;
}
