import {rpcBuilder} from '@vanillamux/rpc';
import {messageSchemas} from './message_schemas.js';
import type {RaftNode} from './raft_node.js';

/** Creates the router through which members reach this one. */
// eslint-disable-next-line @typescript-eslint/explicit-module-boundary-types -- tRPC infers the type that clients share
export function createRaftRouter(getNode: () => RaftNode) {
  const {procedure, router} = rpcBuilder;
  return router({
    vote: procedure
      .input(messageSchemas.vote)
      .mutation(({input}) => getNode().handleVote(input)),
    append: procedure
      .input(messageSchemas.append)
      .mutation(({input}) => getNode().handleAppend(input)),
    snapshot: procedure
      .input(messageSchemas.snapshot)
      .mutation(({input}) => getNode().handleSnapshot(input)),
  });
}

/** Type of the router, for clients. */
export type RaftRouter = ReturnType<typeof createRaftRouter>;
