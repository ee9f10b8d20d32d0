/** Predictions behind an engine placement, for logs and the record. */
export interface PlacementPrediction {
  /** Prefill time on each engine. */
  readonly prefillShareMs: number;
  readonly firstEventMs: number;
  /** Time to the first event if the engines had no other work. */
  readonly idleFirstEventMs: number;
  /** Expected loss of all requests together, in credit. */
  readonly predictedLoss: number;
}
