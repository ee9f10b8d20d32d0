/** Placement policies that the settings can select. */
export enum PlacementPolicyName {
  RoundRobin = 'round_robin',
  LeastOutstanding = 'least_outstanding',
  EngineTime = 'engine_time',
}
