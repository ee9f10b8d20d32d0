/** Role of a member in the current term. */
export enum RaftRole {
  Follower = 'follower',
  Candidate = 'candidate',
  Leader = 'leader',
}
