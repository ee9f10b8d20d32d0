/** Phases of a sequence in the engine. */
export enum SequencePhase {
  Waiting = 'waiting',
  Prefill = 'prefill',
  Decode = 'decode',
  /** The KV cache of a processed segment is retained for later segments. */
  Held = 'held',
  Finished = 'finished',
}
