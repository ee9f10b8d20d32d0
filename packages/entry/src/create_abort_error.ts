import {ErrorCodes, monotonicMs, RunState, VmuxError} from '@vanillamux/shared';
import type {RequestContext} from './request_context.js';

/** The error of a request whose signal aborted after it was admitted. */
export function createAbortError(ctx: RequestContext): VmuxError {
  const isLate = monotonicMs() >= ctx.deadlineMs;
  const code = isLate ? ErrorCodes.DeadlineExceeded : ErrorCodes.Cancelled;
  return new VmuxError(code, {ran: RunState.Failed});
}
