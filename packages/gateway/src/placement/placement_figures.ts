/** What an engine placement expected, for those who ask why. */
export interface PlacementFigures {
  /** Prompt processing on each engine. */
  readonly partMs: number;
  readonly firstEventMs: number;
  /** Credit that all requests together were expected to lose. */
  readonly loss: number;
}
