/** What a routing decision knows of a request. */
export interface RoutingRequest {
  readonly requestId: string;
  readonly promptTokens: number;
  readonly maxTokens: number;
  /** Engine priority; 0 goes first. */
  readonly priority: number;
  /** Prompt tokens that each backend server is believed to have cached. */
  readonly cachedTokensOn: (backendId: string) => number;
}
