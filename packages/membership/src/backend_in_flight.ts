/** What one entry host has in flight on one backend server. */
export interface BackendInFlight {
  readonly backendId: string;
  readonly requests: number;
  readonly heldTokens: number;
  /** Outstanding prefill tokens by engine priority. */
  readonly prefillByPriority: readonly number[];
}
