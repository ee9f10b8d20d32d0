/** A call that asks a backend server which process it is. */
export interface IdentityCall {
  readonly path: string;
  /** Alternating names and values. */
  readonly headers: string[];
}
