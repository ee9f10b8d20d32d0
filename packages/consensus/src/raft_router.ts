import {rpcBuilder, unwrap} from '@vanillamux/rpc';
import {ErrorCodes, fail, VmuxError} from '@vanillamux/shared';
import {z} from 'zod';
import {messageSchemas} from './message_schemas.js';
import type {RaftNode} from './raft_node.js';

/** Creates the router through which members reach this one. */
// eslint-disable-next-line @typescript-eslint/explicit-module-boundary-types -- tRPC infers the type that clients share
export function createRaftRouter(getNode: () => RaftNode) {
  const {router} = rpcBuilder;
  // A host that lost its disk answers at the address of its former identity.
  // Its answers must not count for that one.
  const addressedProcedure = rpcBuilder.procedure
    .input(z.object({to: z.string()}))
    .use(({input, next}) => {
      const {selfId} = getNode();
      if (input.to !== selfId) {
        const message = `${input.to} is not here; this is ${selfId}`;
        unwrap(fail(new VmuxError(ErrorCodes.NotFound, {message})));
      }
      return next();
    });
  return router({
    vote: addressedProcedure
      .input(messageSchemas.vote)
      .mutation(({input}) => getNode().handleVote(input)),
    append: addressedProcedure
      .input(messageSchemas.append)
      .mutation(({input}) => getNode().handleAppend(input)),
    snapshot: addressedProcedure
      .input(messageSchemas.snapshot)
      .mutation(({input}) => getNode().handleSnapshot(input)),
  });
}

/** Type of the router, for clients. */
export type RaftRouter = ReturnType<typeof createRaftRouter>;
