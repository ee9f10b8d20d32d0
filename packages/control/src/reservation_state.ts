/** State of an at-most-once request. */
export enum ReservationState {
  /** The key is reserved; the entry host may have sent the request. */
  Running = 'running',
  /** The service responded; the response is stored. */
  Done = 'done',
  /** Bytes may have been sent, and no response is known. */
  Unknown = 'unknown',
}
