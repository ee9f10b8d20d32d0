/** What follows when the backend server of an attempt is silent. */
export enum SilenceVerdict {
  /** Another attempt begins beside it. */
  Replaced = 'replaced',
  /** No other attempt is possible; the request waits for this one. */
  Kept = 'kept',
}
