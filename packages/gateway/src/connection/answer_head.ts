import type {IncomingHttpHeaders} from 'node:http';

/** Status and headers of a response. */
export interface AnswerHead {
  readonly status: number;
  readonly headers: IncomingHttpHeaders;
  /** Alternating names and values, as received. */
  readonly rawHeaders: readonly string[];
}
