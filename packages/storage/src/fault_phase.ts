/** When a disk operation fails. */
export enum FaultPhase {
  /** Nothing has changed. */
  Before = 'before',
  /** The change is visible, but not durable. */
  After = 'after',
}
