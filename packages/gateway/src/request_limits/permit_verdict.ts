/** What became of the request for a permit, as metrics count it. */
export enum PermitVerdict {
  Granted = 'granted',
  /** The limit is used up for now, or the host has no owner to ask. */
  Denied = 'denied',
  /** The owner did not reply in time. */
  TimedOut = 'timed_out',
}
