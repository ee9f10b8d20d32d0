import type {RequestClass} from './day_spec.js';

/** A request of a virtual day. */
export interface DayArrival {
  readonly atMs: number;
  readonly requestClass: RequestClass;
  /** Entry host that the client is connected to. */
  readonly host: number;
  readonly promptTokens: number;
  readonly events: number;
  /** The client's estimate of its answer's tokens. */
  readonly answerTokens: number;
}
