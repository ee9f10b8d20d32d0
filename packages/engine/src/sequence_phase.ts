/** Life of a sequence in the engine. */
export enum SequencePhase {
  Waiting = 'waiting',
  Prefill = 'prefill',
  Decode = 'decode',
  /** A segment whose KV cache is kept for the other parts. */
  Held = 'held',
  Finished = 'finished',
}
