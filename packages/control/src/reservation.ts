import type {StoredResponse} from './command_results.js';
import type {ReservationState} from './reservation_state.js';

/** One at-most-once request in the register. */
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
  /** Operator who settled it, if one did. */
  readonly operator?: string;
}
