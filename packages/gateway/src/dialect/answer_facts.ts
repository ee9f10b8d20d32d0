import type {AnswerVerdict} from './answer_verdict.js';
import type {LoadReport} from './load_report.js';

/** What the head of a backend server's answer says. */
export interface AnswerFacts {
  readonly verdict: AnswerVerdict;
  readonly load?: LoadReport;
  /** Address of the backend server at fault, if it is another one. */
  readonly faultAddress?: string;
}
