import type {Backend} from '../fleet/backend.js';

/** Reservation of KV memory on one engine for one request. */
export interface MemoryReservation {
  readonly backend: Backend;
  readonly reservationId: string;
  readonly tokens: number;
}
