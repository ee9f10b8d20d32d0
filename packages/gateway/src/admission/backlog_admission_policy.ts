import type {AdmissionRequest} from './admission_request.js';
import {AdmissionPolicy} from './admission_policy.js';

/**
 * Share of a goal that the predicted first event may take. The rest is for what
 * the prediction doesn't know: what other hosts place at the same moment, and
 * pauses of the streams that run.
 */
const GOAL_SHARE = 0.65;
/**
 * Multiple of the time on an idle engine below which a first event is due to the
 * size of its prompt, not to a backlog.
 */
const IDLE_FACTOR = 1.5;
/** Shortest and longest time after which a client should return. */
const MIN_RETURN_MS = 1_000;
const MAX_RETURN_MS = 3_000;

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

  refuse({latencyGoalMs, prediction}: AdmissionRequest): number | undefined {
    if (!prediction) return undefined;
    const {firstEventMs, idleFirstEventMs} = prediction;
    const limitMs = Math.max(
      GOAL_SHARE * latencyGoalMs,
      IDLE_FACTOR * idleFirstEventMs,
    );
    if (firstEventMs <= limitMs) return undefined;
    const backlogMs = firstEventMs - idleFirstEventMs;
    const returnMs = Math.max(MIN_RETURN_MS, backlogMs) * (1 + this.random());
    return Math.min(Math.round(returnMs), MAX_RETURN_MS);
  }
}
