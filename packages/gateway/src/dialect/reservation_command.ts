/** Asks an engine to keep memory for a request, or to give it back. */
export interface ReservationCommand {
  /** Names the memory; the same name renews it. */
  readonly reservationId: string;
  /** Only this backend server may take the order. */
  readonly backendId: string;
  /** Tokens of context; absent to give the memory back. */
  readonly tokens?: number;
  /** Time after which the engine takes the memory back by itself. */
  readonly leaseMs: number;
}
