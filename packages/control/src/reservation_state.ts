/** State of an at-most-once request in the register. */
export enum ReservationState {
  /** Reserved; the entry host may have sent it. */
  Running = 'running',
  /** The service answered; the answer is kept. */
  Done = 'done',
  /** Bytes may have left and no answer came. */
  Unknown = 'unknown',
}
