/** Where a try of a call to the leader went. */
export enum LeaderCallStage {
  /** No leader is known. */
  NoLeader = 'no_leader',
  /** This host is the leader. */
  Local = 'local',
  /** Another host is the leader. */
  Remote = 'remote',
}
