/** Options of a `BreakingServer`. */
export interface BreakingServerOptions {
  /** Bytes that are sent as soon as a request arrives. */
  readonly text: string;
  /** Whether the connection is then reset, and not closed. */
  readonly isReset: boolean;
  /** Whether the server stops to listen before that, as in a crash. */
  readonly stopsListening?: boolean;
  /** Whether the event loop of the reader is blocked from then on. */
  readonly isReaderBusy: boolean;
}
