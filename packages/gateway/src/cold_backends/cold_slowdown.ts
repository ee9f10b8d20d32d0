/** A backend server that is `factor` times as slow for `leftMs`. */
export interface ColdSlowdown {
  /** At least 1; 1 for one that is not cold. */
  readonly factor: number;
  readonly leftMs: number;
}
