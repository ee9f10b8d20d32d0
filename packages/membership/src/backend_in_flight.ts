/** Requests that entry hosts have in flight on one backend server. */
export interface BackendInFlight {
  readonly backendId: string;
  readonly requests: number;
  /** KV memory that the requests need, in tokens. */
  readonly heldTokens: number;
  /** Outstanding prefill tokens by engine priority. */
  readonly prefillByPriority: readonly number[];
}
