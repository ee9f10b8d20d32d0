/** Bounds on the requests that a cold backend server gets in any second. */
export interface ColdBounds {
  /** Factor on the cold rate of its service. */
  readonly overshoot: number;
  /** Requests beyond it. */
  readonly allowance: number;
}
