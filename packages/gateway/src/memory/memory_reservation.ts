import type {Backend} from '../fleet/backend.js';

/** Memory that an engine keeps for one request. */
export interface MemoryReservation {
  readonly backend: Backend;
  readonly reservationId: string;
  readonly tokens: number;
}
