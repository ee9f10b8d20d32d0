import {rpcBuilder, unwrap} from '@vanillamux/rpc';
import type {Evacuator} from './evacuator.js';
import {revisedOrderSchema} from './revised_order_schema.js';

/** Creates the routes by which hosts and operators call the leader. */
// eslint-disable-next-line @typescript-eslint/explicit-module-boundary-types -- tRPC infers the type that clients share
export function createEvacuationRouter(evacuator: Evacuator) {
  const {procedure, router} = rpcBuilder;
  return router({
    order: procedure
      .input(revisedOrderSchema)
      .mutation(async ({input}) =>
        unwrap(await evacuator.orderAsLeader(input)),
      ),
    known: procedure.query(() => evacuator.known),
    read: procedure.query(async () => unwrap(await evacuator.readAsLeader())),
  });
}
