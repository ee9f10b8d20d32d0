/** Load that a backend server reports in a response. */
export interface LoadReport {
  readonly running: number;
  readonly waiting: number;
  readonly slots: number;
}
