/**
 * Reason for aborting what has already ended. Given explicitly, because
 * without one each abort makes an exception with a stack trace.
 */
export const ABORT_REASON = 'ended';
