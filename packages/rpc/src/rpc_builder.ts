import {initTRPC} from '@trpc/server';
import {VmuxError, type VmuxErrorBody} from '@vanillamux/shared';

/**
 * tRPC builder of every router. Errors caused by a `VmuxError` carry its body to
 * the client.
 */
export const rpcBuilder = initTRPC.create({
  errorFormatter({shape, error}) {
    const vmux: VmuxErrorBody | undefined =
      error.cause instanceof VmuxError ? error.cause.toBody() : undefined;
    return {
      code: shape.code,
      message: shape.message,
      data: {code: shape.data.code, httpStatus: shape.data.httpStatus, vmux},
    };
  },
});
