/** What a client has of a stream, over all attempts. */
export interface StreamProgress {
  /** Id of the last whole event. */
  lastEventId?: string;
  events: number;
  /** When the first event was passed on, on the monotonic clock. */
  firstEventMs?: number;
  /** When the last event was passed on. */
  lastEventMs?: number;
  /** Longest pause between two events. */
  longestPauseMs?: number;
}
