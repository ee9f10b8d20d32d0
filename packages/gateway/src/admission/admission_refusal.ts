import type {RefusalReason} from './refusal_reason.js';

/** Why a request is refused, and when its client should return. */
export interface AdmissionRefusal {
  readonly reason: RefusalReason;
  /** Time after which the client should return, in milliseconds. */
  readonly returnMs: number;
  /** What decided, for the log. */
  readonly inputs?: Readonly<Record<string, number>>;
}
