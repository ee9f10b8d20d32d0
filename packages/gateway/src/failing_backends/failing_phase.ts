/** What a backend server that fails requests may get. */
export enum FailingPhase {
  /** It is not known to fail more than others. */
  Sound = 'sound',
  /** Nothing, while another one is left. */
  Avoided = 'avoided',
  /** First attempts of requests that may be repeated. */
  Trial = 'trial',
}
