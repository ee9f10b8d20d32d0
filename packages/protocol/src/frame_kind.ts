/** Kinds of frames that an engine streams. */
export enum FrameKind {
  /** Shows that the stream is alive while there is nothing else to send. */
  Heartbeat = 'heartbeat',
  Token = 'token',
  /** The prefill of a segment is complete and its KV cache is held. */
  Ready = 'ready',
  Done = 'done',
  Error = 'error',
}
