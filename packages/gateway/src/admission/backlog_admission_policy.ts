import {AdmissionPolicy} from './admission_policy.js';
import type {AdmissionRefusal} from './admission_refusal.js';
import type {AdmissionRequest} from './admission_request.js';
import {isKeptPastGoal} from './is_kept_past_goal.js';
import {RefusalReason} from './refusal_reason.js';
import {returnTimeMs} from './return_time_ms.js';

/**
 * Refuses requests while every engine has a backlog, as when more arrive than
 * the engines have slots or prefill time for. Each admitted request would make
 * the others late as well; refused at once, few are lost and the rest are served
 * within their goals. Clients return after the backlog that is left, and at a
 * time of their own.
 */
export class BacklogAdmissionPolicy extends AdmissionPolicy {
  constructor(private readonly random: () => number = Math.random) {
    super();
  }

  refuse({
    latencyGoalMs,
    prediction,
  }: Pick<AdmissionRequest, 'latencyGoalMs' | 'prediction'>):
    AdmissionRefusal | undefined {
    if (!prediction) return undefined;
    if (!isKeptPastGoal(prediction, latencyGoalMs)) return undefined;
    const {firstEventMs, idleFirstEventMs} = prediction;
    return {
      reason: RefusalReason.Backlog,
      returnMs: returnTimeMs(firstEventMs - idleFirstEventMs, this.random),
    };
  }
}
