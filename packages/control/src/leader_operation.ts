/** Operations of operators, which the leader carries out. */
export enum LeaderOperation {
  Publish = 'publish',
  Read = 'read',
  Evacuate = 'evacuate',
}
