/**
 * Reason passed to `AbortController.abort()`. Without an explicit reason, each
 * call creates an exception with a stack trace.
 */
export const ABORT_REASON = 'ended';
