import {rpcBuilder, unwrap} from '@vanillamux/rpc';
import {commandSchemas} from './command_schema.js';
import type {Evacuator} from './evacuator.js';

const orderSchema = commandSchemas.evacuate.omit({kind: true, atMs: true});

/** Creates the routes by which hosts and operators call the leader. */
// eslint-disable-next-line @typescript-eslint/explicit-module-boundary-types -- tRPC infers the type that clients share
export function createEvacuationRouter(evacuator: Evacuator) {
  const {procedure, router} = rpcBuilder;
  return router({
    order: procedure
      .input(orderSchema)
      .mutation(async ({input}) =>
        unwrap(await evacuator.orderAsLeader(input)),
      ),
    known: procedure.query(() => evacuator.known),
    read: procedure.query(async () => unwrap(await evacuator.readAsLeader())),
  });
}
