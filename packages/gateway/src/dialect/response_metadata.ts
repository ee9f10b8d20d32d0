import type {ResponseVerdict} from './response_verdict.js';
import type {LoadReport} from './load_report.js';

/** What the head of a backend server's answer says. */
export interface ResponseMetadata {
  readonly verdict: ResponseVerdict;
  readonly load?: LoadReport;
  /** Address of the backend server at fault, if it is another one. */
  readonly failedHelperAddress?: string;
}
