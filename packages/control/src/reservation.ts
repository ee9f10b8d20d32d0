import type {StoredResponse} from './command_results.js';
import type {ReservationState} from './reservation_state.js';

/** Reservation of an idempotency key for one at-most-once request. */
export interface Reservation {
  readonly workspace: string;
  readonly service: string;
  readonly key: string;
  /** SHA-256 of method, path and body. */
  readonly digest: string;
  readonly requestId: string;
  readonly entry: string;
  readonly reservedAtMs: number;
  readonly leaseEndsAtMs: number;
  readonly retentionMs: number;
  readonly state: ReservationState;
  readonly settledAtMs?: number;
  readonly answer?: StoredResponse;
  /** Operator who settled the reservation, if one did. */
  readonly operator?: string;
}
