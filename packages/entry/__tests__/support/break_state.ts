/** What has happened on the connection of a `BreakingServer`. */
export enum BreakState {
  Started,
  /** The thread of the reader runs no event loop until the server has ended. */
  ReaderBusy,
  Ended,
}
