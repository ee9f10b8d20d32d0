/** State of an entry host, for operators. */
export interface EntryStatus {
  readonly id: string;
  readonly failureDomain: string;
  readonly isReady: boolean;
  /** Version of the declarations in force. */
  readonly version: number;
  /** Whether the declarations may be out of date. */
  readonly isStale: boolean;
  readonly backends: number;
  readonly inFlight: number;
  readonly undeliveredRecords: number;
  readonly unsettled: number;
  readonly liveEntries: readonly string[];
}
