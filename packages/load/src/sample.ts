import type {Arrival} from './arrival.js';

/** The measured outcome of one arrival. */
export interface Sample {
  readonly arrival: Arrival;
  /** Milliseconds from the planned arrival to the first token. */
  readonly firstTokenMs?: number;
  /** Milliseconds from the planned arrival to the end of the response. */
  readonly endMs: number;
  /** Error code, or `incomplete` for a response with too few tokens. */
  readonly error?: string;
}
