import type {DayClass} from './day_spec.js';

/** A request of a virtual day. */
export interface DayArrival {
  readonly atMs: number;
  readonly kind: DayClass;
  /** Entry host that the client is connected to. */
  readonly host: number;
  readonly promptTokens: number;
  readonly events: number;
  /** The client's estimate of its answer's tokens. */
  readonly answerTokens: number;
}
