/** The load that a backend server states in an answer. */
export interface LoadReport {
  readonly running: number;
  readonly waiting: number;
  readonly slots: number;
}
