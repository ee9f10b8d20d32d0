/** Why this host does not take a relayed request. */
export interface RelayRefusal {
  readonly reason: string;
  /** Whether this host does not reach the service either. */
  readonly hasLostService: boolean;
}
