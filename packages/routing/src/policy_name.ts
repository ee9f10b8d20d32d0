/** Names of the routing policies in settings. */
export enum PolicyName {
  RoundRobin = 'round_robin',
  LeastOutstanding = 'least_outstanding',
  EstimatedFirstToken = 'estimated_first_token',
}
