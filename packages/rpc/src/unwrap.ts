import {TRPCError} from '@trpc/server';
import type {Result} from '@vanillamux/shared';

/** Returns the value of a result, or throws its error in a `TRPCError`. */
export function unwrap<T>(result: Result<T>): T {
  if (result.ok) return result.value;
  throw new TRPCError({
    code: 'BAD_REQUEST',
    message: result.error.message,
    cause: result.error,
  });
}
