/** A service that this host has lost, or reaches again. */
export interface ReachChange {
  readonly service: string;
  readonly isLost: boolean;
}
