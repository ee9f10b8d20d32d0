/** Role of a member in the present term. */
export enum RaftRole {
  Follower = 'follower',
  Candidate = 'candidate',
  Leader = 'leader',
}
