/** How much of a stream was forwarded to the client, over all attempts. */
export interface StreamProgress {
  /** Id of the last forwarded event; at first, the one the client sent. */
  lastEventId?: string;
  events: number;
  /** When the first event was forwarded, on the monotonic clock. */
  firstEventMs?: number;
  /** When the last event was forwarded. */
  lastEventMs?: number;
  /**
   * Whether the last attempt ended in order after an event, so that no event may
   * be missing, although nothing proves it.
   */
  mayBeComplete?: boolean;
  /** Longest pause between two events. */
  longestPauseMs?: number;
}
