import type {ResponseVerdict} from './response_verdict.js';
import type {LoadReport} from './load_report.js';

/** Metadata from the response head of a backend server. */
export interface ResponseMetadata {
  readonly verdict: ResponseVerdict;
  readonly load?: LoadReport;
  /** Address of the helper that failed, if the response names one. */
  readonly failedHelperAddress?: string;
}
