import type {Arrival} from './arrival.js';

/** What came of one arrival. */
export interface Sample {
  readonly arrival: Arrival;
  /** Milliseconds from the planned arrival to the first token. */
  readonly firstTokenMs?: number;
  /** Milliseconds from the planned arrival to the end of the answer. */
  readonly endMs: number;
  /** Error code, or `incomplete` for an answer that was cut. */
  readonly error?: string;
}
