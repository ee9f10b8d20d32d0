/** Role of a member in the membership of the group. */
export enum MemberRole {
  /** Receives the log, but neither votes nor counts towards a quorum. */
  Learner = 'learner',
  Voter = 'voter',
}
