/** Properties of a request that a routing decision uses. */
export interface RoutingRequest {
  readonly requestId: string;
  readonly promptTokens: number;
  readonly maxTokens: number;
  /** Engine priority; 0 is the highest. */
  readonly priority: number;
  /** Prompt tokens that a backend server probably has in its prefix cache. */
  readonly cachedTokensOn: (backendId: string) => number;
}
