/** Whether a control host belongs to a group. */
export enum FormationState {
  /** The disk is empty and the host knows no group. */
  Empty = 'empty',
  /** The host knows its group, from its formation or from a leader. */
  Formed = 'formed',
}
