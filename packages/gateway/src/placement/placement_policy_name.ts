/** Placements that the settings can choose. */
export enum PlacementPolicyName {
  RoundRobin = 'round_robin',
  LeastOutstanding = 'least_outstanding',
  EngineTime = 'engine_time',
}
