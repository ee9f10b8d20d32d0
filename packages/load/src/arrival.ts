import type {LoadStream} from './load_spec.js';

/** A request that the experiment sends at a fixed time. */
export interface Arrival {
  /** Milliseconds after the start of the experiment. */
  readonly atMs: number;
  readonly stream: LoadStream;
  readonly promptTokens: number;
  /** Makes the prompt differ from all others. */
  readonly sequence: number;
}
