/** How far a control host is in joining the group. */
export enum FormationState {
  /** The disk is empty and no group is known. */
  Empty = 'empty',
  /** The host has accepted the first member list of a new group. */
  Formed = 'formed',
}
