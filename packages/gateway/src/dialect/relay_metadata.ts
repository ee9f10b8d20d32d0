/** Metadata that changes when a request is relayed to another entry host. */
export interface RelayMetadata {
  /** Time left until the deadline of the request. */
  readonly remainingMs: number;
  /** Id of the last event that the client has received. */
  readonly lastEventId?: string;
}
