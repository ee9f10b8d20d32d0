/** Life of a sequence in the engine. */
export enum SequencePhase {
  Waiting = 'waiting',
  Prefill = 'prefill',
  Decode = 'decode',
  Finished = 'finished',
}
