import type {IncomingHttpHeaders} from 'node:http';

/** Status and headers of a response. */
export interface ResponseHead {
  readonly status: number;
  readonly headers: IncomingHttpHeaders;
  /** Alternating names and values, as received. */
  readonly rawHeaders: readonly string[];
}
