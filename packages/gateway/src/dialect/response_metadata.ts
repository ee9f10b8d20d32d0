import type {ResponseVerdict} from './response_verdict.js';
import type {LoadReport} from './load_report.js';

/** Metadata from the response head of a backend server. */
export interface ResponseMetadata {
  readonly verdict: ResponseVerdict;
  readonly load?: LoadReport;
  /**
   * Requests a second that the backend server takes from all hosts together;
   * `undefined` if it names no limit.
   */
  readonly requestLimitPerS?: number;
  /**
   * Time for which the backend server stays cold, in milliseconds; `undefined` if
   * the response doesn't say.
   */
  readonly coldForMs?: number;
  /** Whether the backend server says that it leaves. */
  readonly isLeaving?: boolean;
  /**
   * Time for which the backend server, which has turned the request away, wants
   * no further one from this host, in milliseconds.
   */
  readonly pauseMs?: number;
  /** Address of the helper that failed, if the response names one. */
  readonly failedHelperAddress?: string;
}
