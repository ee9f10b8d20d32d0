import type {IncomingHttpHeaders} from 'node:http';

/** Status and headers of an answer. */
export interface ResponseHead {
  readonly status: number;
  readonly headers: IncomingHttpHeaders;
  /** Names and values in turn, as they came. */
  readonly rawHeaders: readonly string[];
}
