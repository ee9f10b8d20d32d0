/** An order as it is sent to an engine. */
export interface ReservationMessage {
  readonly path: string;
  /** Names and values in turn. */
  readonly headers: string[];
  readonly body: string;
}
