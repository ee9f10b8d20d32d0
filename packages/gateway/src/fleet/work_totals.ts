/** Sums over the work on one engine that has not ended. */
export interface WorkTotals {
  /** Sequences that decode or will decode. */
  readonly streams: number;
  readonly prefillMs: number;
  readonly decodeMs: number;
  readonly lossIfLate: number;
}
