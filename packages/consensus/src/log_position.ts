/** Identifies an entry: members whose logs have it have the same log up to it. */
export interface LogPosition {
  readonly index: number;
  readonly term: number;
}
