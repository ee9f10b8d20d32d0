/** What the leader does for a host that stops. */
export enum LeaveVerdict {
  /** The host is no member any more; it may end. */
  Left = 'left',
  /** The host is about to be removed, and should wait. */
  Pending = 'pending',
  /** The host stays a member: the group is safer with it, should it return. */
  Kept = 'kept',
}
