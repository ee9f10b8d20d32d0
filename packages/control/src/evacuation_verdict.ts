/** Result of an evacuate command. */
export enum EvacuationVerdict {
  Changed = 'changed',
  /** The failure domain was already as ordered. */
  Unchanged = 'unchanged',
  /** The emptied domains have changed since the revision of the order. */
  Outdated = 'outdated',
  /** No further failure domain can be emptied. */
  LimitReached = 'limit_reached',
}
