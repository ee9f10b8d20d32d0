import {AbortReason} from './abort_reason.js';
import {AttemptOutcome} from './attempt_outcome.js';
import type {AttemptResult} from './attempt_result.js';

/** Creates the result of an attempt that this host itself has ended. */
export function createAbortedResult({reason}: AbortSignal): AttemptResult {
  const outcome =
    reason === AbortReason.Superseded
      ? AttemptOutcome.Superseded
      : AttemptOutcome.Cancelled;
  return {outcome, reason: String(reason)};
}
