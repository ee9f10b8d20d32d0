/** What an engine placement expected, for those who ask why. */
export interface PlacementPrediction {
  /** Prompt processing on each engine. */
  readonly prefillShareMs: number;
  readonly firstEventMs: number;
  /** Credit that all requests together were expected to lose. */
  readonly predictedLoss: number;
}
