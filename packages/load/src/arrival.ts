import type {LoadStream} from './load_spec.js';

/** A request with the time at which the experiment sends it. */
export interface Arrival {
  /** Milliseconds after the start of the experiment. */
  readonly atMs: number;
  readonly stream: LoadStream;
  readonly promptTokens: number;
  /** Position in its stream; part of the prompt, so that no two are equal. */
  readonly sequence: number;
}
