import type {z} from 'zod';
import type {ReservationState} from './reservation_state.js';
import type {storedResponseSchema} from './stored_response_schema.js';

/** HTTP response of a service, stored to be replayed. */
export type StoredResponse = z.infer<typeof storedResponseSchema>;

/** Result of a declare command. */
export interface DeclareResult {
  readonly accepted: boolean;
  /** Version that was accepted, or the version in force after a conflict. */
  readonly version: number;
}

/** Whether a reserve command got its key, and if not, why. */
export enum ReserveVerdict {
  /** The key is reserved for this request. */
  Granted = 'granted',
  /** Another request holds the key; `state` is that request's state. */
  Held = 'held',
  /** The key is held by a request with another method, path or body. */
  BodyMismatch = 'other_body',
  /** The workspace has reached the maximum number of keys. */
  KeyLimitReached = 'full',
}

/** Result of a reserve command. */
export interface ReserveResult {
  readonly verdict: ReserveVerdict;
  /** State of the request that holds the key. */
  readonly state?: ReservationState;
  readonly requestId?: string;
  readonly answer?: StoredResponse;
}

/** Result of a settle command. */
export interface SettleResult {
  /**
   * Whether the reservation has an outcome or was freed. False if this request
   * holds no reservation, or if only an operator may free the key.
   */
  readonly settled: boolean;
  readonly state?: ReservationState;
}

/** Result of a fence command. */
export interface FenceResult {
  readonly granted: boolean;
  /** Fencing number of the caller, or of the current holder if not granted. */
  readonly number: number;
  /** Milliseconds until the lease of another holder ends; 0 if granted. */
  readonly waitMs: number;
}
