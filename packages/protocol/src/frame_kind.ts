/** Kinds of frames that an engine streams. */
export enum FrameKind {
  /** Sent while there is nothing else, to show the stream is alive. */
  Heartbeat = 'heartbeat',
  Token = 'token',
  /** A segment is processed and its KV cache is held. */
  Ready = 'ready',
  Done = 'done',
  Error = 'error',
}
