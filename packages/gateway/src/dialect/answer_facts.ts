import type {AnswerVerdict} from './answer_verdict.js';
import type {LoadReport} from './load_report.js';

/** Metadata from the response head of a backend server. */
export interface AnswerFacts {
  readonly verdict: AnswerVerdict;
  readonly load?: LoadReport;
  /** Address of the helper that failed, if the response names one. */
  readonly faultAddress?: string;
}
