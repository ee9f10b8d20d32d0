import {AttemptOutcome} from './attempt_outcome.js';
import type {AttemptResult} from './attempt_result.js';

/** Result of an attempt whose response may have ended too early. */
export const UNPROVEN_END: AttemptResult = {
  outcome: AttemptOutcome.Unproven,
  reason: 'nothing proves that the response is complete',
};
