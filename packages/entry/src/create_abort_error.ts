import {ErrorCodes, monotonicMs, RunState, VmuxError} from '@vanillamux/shared';
import type {RequestContext} from './request_context.js';

/**
 * Creates the error of an admitted request whose signal aborted: the deadline
 * has passed, or the caller has disconnected.
 */
export function createAbortError(ctx: RequestContext): VmuxError {
  const isLate = monotonicMs() >= ctx.deadlineMs;
  const code = isLate ? ErrorCodes.DeadlineExceeded : ErrorCodes.Cancelled;
  return new VmuxError(code, {ran: RunState.Failed});
}
