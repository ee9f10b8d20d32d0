import {rpcBuilder, unwrap} from '@vanillamux/rpc';
import type {
  FenceResult,
  ReserveResult,
  SettleResult,
} from './command_results.js';
import {CommandKind} from './command_kind.js';
import {commandSchemas} from './command_schema.js';
import type {FenceCommand, ReserveCommand, SettleCommand} from './commands.js';
import type {ControlHost} from './control_host.js';
import {proposeCommand} from './propose_command.js';

const reserveSchema = commandSchemas.reserve.omit({kind: true, atMs: true});
const settleSchema = commandSchemas.settle.omit({kind: true, atMs: true});
const fenceSchema = commandSchemas.fence.omit({kind: true, atMs: true});

/** Creates the routes for the at-most-once register and fencing numbers. */
// eslint-disable-next-line @typescript-eslint/explicit-module-boundary-types -- tRPC infers the type that clients share
export function createRegisterRouter({
  node,
  stateMachine: stateMachine,
}: ControlHost) {
  const {procedure, router} = rpcBuilder;
  return router({
    reserve: procedure.input(reserveSchema).mutation(async ({input}) =>
      unwrap(
        await proposeCommand<ReserveCommand, ReserveResult>(node, {
          kind: CommandKind.Reserve,
          ...input,
        }),
      ),
    ),
    settle: procedure.input(settleSchema).mutation(async ({input}) =>
      unwrap(
        await proposeCommand<SettleCommand, SettleResult>(node, {
          kind: CommandKind.Settle,
          ...input,
        }),
      ),
    ),
    list: procedure.query(async () => {
      unwrap(await node.confirmByLease());
      return stateMachine.reservations.list();
    }),
    fence: procedure.input(fenceSchema).mutation(async ({input}) =>
      unwrap(
        await proposeCommand<FenceCommand, FenceResult>(node, {
          kind: CommandKind.Fence,
          ...input,
        }),
      ),
    ),
  });
}
