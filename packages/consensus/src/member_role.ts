/** Part that a member plays in the group. */
export enum MemberRole {
  /** Receives the log, neither votes nor counts towards a quorum. */
  Learner = 'learner',
  Voter = 'voter',
}
