import type {RequestClass} from './day_spec.js';

/** A request of a simulated day. */
export interface DayArrival {
  readonly atMs: number;
  readonly requestClass: RequestClass;
  readonly workspace: string;
  /** Index of the entry host that the client is connected to. */
  readonly host: number;
  readonly promptTokens: number;
  readonly events: number;
  /** The client's estimate of its output tokens. */
  readonly answerTokens: number;
}
