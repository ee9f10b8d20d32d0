/** Rate at which the owner of a backend server issues permits. */
export interface PermitRate {
  readonly tokensPerSecond: number;
  readonly burstTokens: number;
}
