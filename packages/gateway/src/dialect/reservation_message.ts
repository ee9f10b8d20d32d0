/** A reservation command as it is sent to an engine. */
export interface ReservationMessage {
  readonly path: string;
  /** Alternating names and values. */
  readonly headers: string[];
  readonly body: string;
}
