/** Asks an engine to reserve KV memory for a request, or to release it. */
export interface ReservationCommand {
  /** Identifies the reservation; the same id renews it. */
  readonly reservationId: string;
  /** Only this backend server may execute the command. */
  readonly backendId: string;
  /** Context tokens that need memory; absent to release the memory. */
  readonly tokens?: number;
  /** Time after which the engine frees the memory if it is not renewed. */
  readonly leaseMs: number;
}
